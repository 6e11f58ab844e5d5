#include "operator/files.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/hex.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <cerrno>
#include <filesystem>
#include <fstream>
#include <openssl/evp.h>
#include <plantaingap/invariant.h>

namespace plantaingap::operators {

result<std::string> readFile(const std::string &name)
{
    std::error_code error;
    const auto size = std::filesystem::file_size(name, error);
    if (error)
        return error;
    if (size > fileLimit)
        return make_error_code(errc::TooLarge);
    std::ifstream stream(name, std::ios::binary);
    if (!stream)
        return std::error_code(errno, std::generic_category());
    std::string text(size, '\0');
    stream.read(text.data(), static_cast<std::streamsize>(size));
    text.resize(static_cast<std::size_t>(stream.gcount()));
    return text;
}

result<std::string> readSecret(const std::string &name)
{
    auto text = readFile(name);
    if (!text)
        return text;
    boost::algorithm::trim(*text);
    if (text->size() < secretMinimum)
        return make_error_code(errc::Malformed);
    return text;
}

result<std::vector<std::string>> jsonFiles(const std::string &folder)
{
    std::error_code error;
    std::vector<std::string> names;
    const std::filesystem::directory_iterator entries(folder, error);
    if (error)
        return error;
    for (const auto &entry : entries) {
        if (entry.path().extension() == ".json" && entry.is_regular_file(error))
            names.push_back(entry.path().string());
    }
    std::ranges::sort(names);
    return names;
}

std::string sha256(std::string_view text)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> bytes {};
    unsigned int length = 0;
    const int done =
        EVP_Digest(text.data(), text.size(), bytes.data(), &length, EVP_sha256(), nullptr);
    PLANTAINGAP_INVARIANT(done == 1, "digest_computed");
    std::string digest;
    boost::algorithm::hex_lower(bytes.begin(), bytes.begin() + length, std::back_inserter(digest));
    return digest;
}

} // namespace plantaingap::operators
