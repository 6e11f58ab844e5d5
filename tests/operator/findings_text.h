#ifndef TESTS_OPERATOR_FINDINGS_TEXT_H
#define TESTS_OPERATOR_FINDINGS_TEXT_H

#include <plantaingap/result.h>
#include <string>
#include <vector>

// Findings as "file:line path message", for comparing with the rows of tables.
inline std::vector<std::string> findingTexts(const plantaingap::findings &found)
{
    std::vector<std::string> texts;
    for (const auto &each : found) {
        texts.push_back(each.file + ":" + std::to_string(each.line) + " " + each.path + " "
                        + each.message);
    }
    return texts;
}

// One text per line, so that a failed check prints what differs.
inline std::string joined(const std::vector<std::string> &texts)
{
    std::string all;
    for (const auto &text : texts)
        all += text + "\n";
    return all;
}

#endif
