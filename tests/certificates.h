#ifndef TESTS_CERTIFICATES_H
#define TESTS_CERTIFICATES_H

#include <memory>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rsa.h>
#include <openssl/x509v3.h>
#include <string>

// Certificates that tests make for themselves, as PEM texts.
struct test_identity
{
    std::string certificate;
    std::string key;
};

// An authority that signs certificates; each object is another authority.
class test_authority
{
public:
    enum class validity { Current, Expired };

    explicit test_authority(const std::string &name)
        : m_key(makeKey())
        , m_certificate(makeCertificate(name, validity::Current, *m_key, nullptr))
    { }

    std::string certificate() const
    {
        return text([this](BIO *to) { PEM_write_bio_X509(to, m_certificate.get()); });
    }

    test_identity issue(const std::string &name, validity valid = validity::Current) const
    {
        const auto key = makeKey();
        const auto issued = makeCertificate(name, valid, *key, this);
        return {text([&](BIO *to) { PEM_write_bio_X509(to, issued.get()); }), text([&](BIO *to) {
                    PEM_write_bio_PrivateKey(to, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
                })};
    }

private:
    template<auto Free>
    struct freer
    {
        template<class T>
        void operator()(T *object) const
        {
            Free(object);
        }
    };
    using key_pointer = std::unique_ptr<EVP_PKEY, freer<EVP_PKEY_free>>;
    using certificate_pointer = std::unique_ptr<X509, freer<X509_free>>;

    template<class Write>
    static std::string text(Write write)
    {
        const std::unique_ptr<BIO, freer<BIO_free>> memory(BIO_new(BIO_s_mem()));
        write(memory.get());
        char *data = nullptr;
        const auto size = BIO_get_mem_data(memory.get(), &data);
        return {data, static_cast<std::size_t>(size)};
    }

    static key_pointer makeKey() { return key_pointer(EVP_EC_gen("P-256")); }

    // Self-signed when there is no authority.
    static certificate_pointer makeCertificate(const std::string &name, validity valid,
                                               EVP_PKEY &key, const test_authority *signer)
    {
        constexpr long dayInSeconds = 24 * 60 * 60;
        const long ends = valid == validity::Current ? dayInSeconds : -dayInSeconds;
        certificate_pointer made(X509_new());
        X509_set_version(made.get(), X509_VERSION_3);
        ASN1_INTEGER_set(X509_get_serialNumber(made.get()), 1);
        X509_gmtime_adj(X509_getm_notBefore(made.get()), -2 * dayInSeconds);
        X509_gmtime_adj(X509_getm_notAfter(made.get()), ends);
        X509_set_pubkey(made.get(), &key);
        auto *subject = X509_get_subject_name(made.get());
        X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC,
                                   reinterpret_cast<const unsigned char *>(name.c_str()), -1, -1,
                                   0);
        X509_set_issuer_name(made.get(),
                             signer ? X509_get_subject_name(signer->m_certificate.get()) : subject);
        const char *constraint = signer ? "CA:FALSE" : "critical,CA:TRUE";
        auto *extension = X509V3_EXT_conf_nid(nullptr, nullptr, NID_basic_constraints, constraint);
        X509_add_ext(made.get(), extension, -1);
        X509_EXTENSION_free(extension);
        X509_sign(made.get(), signer ? signer->m_key.get() : &key, EVP_sha256());
        return made;
    }

    key_pointer m_key;
    certificate_pointer m_certificate;
};

#endif
