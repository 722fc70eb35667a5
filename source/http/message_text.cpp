#include "http/message_text.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace amaranthhatch::http
{

namespace
{

struct phrase
{
    int status;
    std::string_view text;
};

constexpr std::array phrases{phrase{200, "OK"},
                             phrase{202, "Accepted"},
                             phrase{400, "Bad Request"},
                             phrase{404, "Not Found"},
                             phrase{405, "Method Not Allowed"},
                             phrase{408, "Request Timeout"},
                             phrase{413, "Content Too Large"},
                             phrase{421, "Misdirected Request"},
                             phrase{422, "Unprocessable Content"},
                             phrase{429, "Too Many Requests"},
                             phrase{431, "Request Header Fields Too Large"},
                             phrase{500, "Internal Server Error"},
                             phrase{502, "Bad Gateway"},
                             phrase{503, "Service Unavailable"},
                             phrase{504, "Gateway Timeout"}};

constexpr std::array<std::string_view, 9> connection_headers{
    "connection", "keep-alive",     "proxy-connection",
    "te",         "trailer",        "transfer-encoding",
    "upgrade",    "content-length", "proxy-authorization"};

void append_headers(std::string& text, const header_list& headers)
{
    for (const auto& line : headers.all())
    {
        if (is_connection_header(line.name))
            continue;
        text += line.name;
        text += ": ";
        text += line.value;
        text += "\r\n";
    }
}

} // namespace

std::string_view status_phrase(int status)
{
    for (const auto& entry : phrases)
        if (entry.status == status)
            return entry.text;
    return "Status";
}

bool is_connection_header(std::string_view name)
{
    for (auto entry : connection_headers)
        if (header_list::same_name(name, entry))
            return true;
    return false;
}

bool is_visible_text(std::string_view text)
{
    return std::all_of(text.begin(), text.end(),
                       [](char character)
                       { return character > ' ' && character <= '~'; });
}

bool is_header_name(std::string_view text)
{
    constexpr std::string_view separators = "\"(),/:;<=>?@[\\]{}";
    return !text.empty() && is_visible_text(text) &&
           text.find_first_of(separators) == text.npos;
}

bool is_header_value(std::string_view text)
{
    constexpr char last_control = '\x1f';
    constexpr char deleted = '\x7f';
    return std::none_of(text.begin(), text.end(),
                        [](char character)
                        {
                            auto code = static_cast<unsigned char>(character);
                            return (code <= last_control && code != '\t') ||
                                   code == deleted;
                        });
}

bool is_bodiless(int status)
{
    constexpr int first_final = 200;
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return status < first_final || status == no_content ||
           status == not_modified;
}

std::string head_text(int status, const header_list& headers,
                      const response_form& form)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " ";
    text += status_phrase(status);
    text += "\r\n";
    append_headers(text, headers);
    if (!form.connection.empty())
    {
        text += "Connection: ";
        text += form.connection;
        text += "\r\n";
    }
    if (form.framing == body_framing::length)
        text += "Content-Length: " + std::to_string(form.length) + "\r\n";
    if (form.framing == body_framing::chunks)
        text += "Transfer-Encoding: chunked\r\n";
    text += "\r\n";
    return text;
}

std::string request_text(std::string_view method, std::string_view target,
                         const header_list& headers, std::size_t length)
{
    std::string text(method);
    text += ' ';
    text += target;
    text += " HTTP/1.1\r\n";
    append_headers(text, headers);
    if (length > 0 || method == "POST" || method == "PUT")
        text += "Content-Length: " + std::to_string(length) + "\r\n";
    text += "\r\n";
    return text;
}

std::string seconds_text(std::chrono::milliseconds time)
{
    char text[32];
    std::snprintf(text, sizeof text, "%.2f",
                  static_cast<double>(time.count()) / 1000);
    return text;
}

void append_chunk(std::string& out, std::string_view piece)
{
    char size[20];
    int digits = std::snprintf(size, sizeof size, "%zx\r\n", piece.size());
    out.append(size, static_cast<std::size_t>(digits));
    out += piece;
    out += "\r\n";
}

void split_target(request& message)
{
    auto mark = message.target.find('?');
    message.path = message.target.substr(0, mark);
    message.query =
        mark == message.target.npos ? "" : message.target.substr(mark + 1);
}

} // namespace amaranthhatch::http
