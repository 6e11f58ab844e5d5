#include "operator/configuration_set.h"

#include "operator/configuration_checks.h"
#include "operator/configuration_tables.h"
#include "operator/document_reader.h"
#include "operator/document_writer.h"
#include "operator/files.h"

#include <algorithm>

namespace plantaingap::operators {

namespace {

template<class Declaration>
void append(std::vector<Declaration> &all, std::vector<Declaration> &&more)
{
    std::ranges::move(more, std::back_inserter(all));
}

template<class Declaration>
void sortByName(std::vector<Declaration> &all)
{
    std::ranges::sort(all, {}, &Declaration::name);
}

void merge(configuration &all, read_file &&file)
{
    append(all.services, std::move(file.declared.services));
    append(all.teams, std::move(file.declared.teams));
    append(all.jobs, std::move(file.declared.jobs));
    append(all.workerClasses, std::move(file.declared.workerClasses));
    // At most one file declares the rule; the others hold the default.
    if (file.declared.groups != group_rule::Rack)
        all.groups = file.declared.groups;
}

void readOne(const set_file &file, std::vector<read_file> &files, findings &found)
{
    auto document = support::parseJsonDocument(file.name, file.text);
    if (!document) {
        found.push_back(document.error());
        return;
    }
    read_file read {std::move(*document), {}};
    document_reader(file.name, unknown_keys::Refuse, found).read(read.document.root, read.declared);
    files.push_back(std::move(read));
}

} // namespace

set_outcome readSet(const std::vector<set_file> &files)
{
    findings found;
    std::vector<read_file> readFiles;
    readFiles.reserve(files.size());
    for (const auto &file : files)
        readOne(file, readFiles, found);
    // A file that is not JSON would make the names it declares look missing.
    if (readFiles.size() == files.size())
        checkConfiguration(readFiles, found);
    if (!found.empty())
        return found;
    configuration all;
    for (auto &file : readFiles)
        merge(all, std::move(file));
    auto set = makeSet(std::move(all));
    for (const auto &file : files)
        set.files.push_back(file.name);
    return set;
}

set_outcome loadSet(const std::string &folder)
{
    const auto names = jsonFiles(folder);
    if (!names)
        return findings {{folder, 0, "", "cannot be read: " + names.error().message()}};
    // An empty folder is far more often a slip than the wish to remove everything.
    if (names->empty())
        return findings {{folder, 0, "", "holds no *.json file"}};
    findings found;
    std::vector<set_file> files;
    for (const auto &name : *names) {
        auto text = readFile(name);
        if (text)
            files.push_back({name, std::move(*text)});
        else
            found.push_back({name, 0, "", "cannot be read: " + text.error().message()});
    }
    if (!found.empty())
        return found;
    return readSet(files);
}

set_outcome parseSet(const std::string &name, std::string_view text)
{
    auto set = readSet({{name, std::string(text)}});
    if (set)
        set->files.clear();
    return set;
}

configuration_set makeSet(configuration declared)
{
    sortByName(declared.services);
    sortByName(declared.teams);
    sortByName(declared.jobs);
    sortByName(declared.workerClasses);
    auto digest = sha256(canonicalText(declared));
    return {std::move(declared), std::move(digest), {}};
}

std::string canonicalText(const configuration &declared)
{
    return writeText(declared, defaults::Omitted);
}

} // namespace plantaingap::operators
