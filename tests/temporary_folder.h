#ifndef TESTS_TEMPORARY_FOLDER_H
#define TESTS_TEMPORARY_FOLDER_H

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>

// A folder that goes away with the object.
class temporary_folder
{
public:
    temporary_folder()
    {
        auto name = (std::filesystem::temp_directory_path() / "plantaingap-XXXXXX").string();
        m_path = mkdtemp(name.data());
    }
    ~temporary_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }
    temporary_folder(const temporary_folder &) = delete;
    temporary_folder &operator=(const temporary_folder &) = delete;

    const std::string &path() const { return m_path; }

    // Writes a file and returns its whole name.
    std::string write(const std::string &name, const std::string &text) const
    {
        const auto file = m_path + "/" + name;
        std::ofstream(file) << text;
        return file;
    }

private:
    std::string m_path;
};

#endif
