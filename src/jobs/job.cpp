#include "jobs/job.h"

#include <charconv>

namespace plantaingap::jobs {

const queue_definition *cell_configuration::find(std::string_view host, std::string_view path) const
{
    const queue_definition *best = nullptr;
    for (const auto &queue : queues) {
        if (queue.host != host || !path.starts_with(queue.prefix))
            continue;
        if (!best || queue.prefix.size() > best->prefix.size())
            best = &queue;
    }
    return best;
}

const queue_definition *cell_configuration::byName(std::string_view name) const
{
    for (const auto &queue : queues) {
        if (queue.name == name)
            return &queue;
    }
    return nullptr;
}

const workspace_definition *cell_configuration::workspace(std::string_view name) const
{
    for (const auto &workspace : workspaces) {
        if (workspace.name == name)
            return &workspace;
    }
    return nullptr;
}

std::string task_name::text() const
{
    std::string out;
    out.reserve(job.size() + 16);
    out.append(job).append(1, '.').append(std::to_string(occurrence)).append(1, '.');
    out.append(std::to_string(step)).append(1, '.').append(std::to_string(index));
    return out;
}

std::optional<task_name> task_name::parse(std::string_view text)
{
    task_name name;
    const auto dot = text.find('.');
    if (dot == std::string_view::npos || dot == 0)
        return std::nullopt;
    name.job = text.substr(0, dot);
    const char *cursor = text.data() + dot;
    const char *end = text.data() + text.size();
    for (auto *part : {&name.occurrence, &name.step, &name.index}) {
        if (cursor == end || *cursor != '.')
            return std::nullopt;
        const auto parsed = std::from_chars(cursor + 1, end, *part);
        if (parsed.ec != std::errc {})
            return std::nullopt;
        cursor = parsed.ptr;
    }
    if (cursor != end)
        return std::nullopt;
    return name;
}

} // namespace plantaingap::jobs
