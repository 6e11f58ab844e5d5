#include <array>
#include <plantaingap/result.h>

namespace plantaingap {

namespace {

class category final : public std::error_category
{
public:
    const char *name() const noexcept override { return "plantaingap"; }

    std::string message(int code) const override
    {
        static constexpr std::array<const char *, 18> texts = {
            "ok",
            "overloaded",
            "deadline passed",
            "no such service",
            "no worker can take it",
            "instance is not ready",
            "instance is stopping",
            "the platform's store cannot be reached",
            "request key was seen before",
            "outcome unknown",
            "bad answer from worker",
            "stale epoch",
            "version conflict",
            "not found",
            "invalid configuration",
            "forbidden",
            "too large",
            "malformed",
        };
        const auto index = static_cast<std::size_t>(code);
        return index < texts.size() ? texts[index] : "unknown error";
    }
};

} // namespace

const std::error_category &errorCategory()
{
    static const category instance;
    return instance;
}

std::error_code make_error_code(errc code)
{
    return {static_cast<int>(code), errorCategory()};
}

} // namespace plantaingap
