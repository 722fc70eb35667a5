#include "settings/document.hpp"

#include <arpa/inet.h>

#include <charconv>
#include <set>

#include <toml++/toml.h>

namespace amaranthhatch::settings
{

struct document::state
{
    std::string file;
    toml::table root;
    std::set<std::string, std::less<>> asked;
};

namespace
{

struct duration_unit
{
    std::string_view suffix;
    double milliseconds;
};

constexpr duration_unit duration_units[] = {
    {"ms", 1.0}, {"s", 1000.0}, {"m", 60'000.0}, {"h", 3'600'000.0}};

// A dotted path is resolved by hand, since table names such as "despacho-llm"
// or "v1.2" would not survive the library's own path syntax.
toml::node* find(toml::table& root, std::string_view key)
{
    toml::node* node = &root;
    while (!key.empty())
    {
        auto dot = key.find('.');
        auto part = key.substr(0, dot);
        toml::table* table = node->as_table();
        if (table == nullptr)
            return nullptr;
        node = table->get(part);
        if (node == nullptr)
            return nullptr;
        key = dot == std::string_view::npos ? std::string_view()
                                            : key.substr(dot + 1);
    }
    return node;
}

bool parse_duration(std::string_view text, std::chrono::milliseconds& parsed)
{
    double amount = 0;
    auto [end, code] =
        std::from_chars(text.data(), text.data() + text.size(), amount);
    if (code != std::errc() || amount < 0)
        return false;
    std::string_view suffix(end, text.data() + text.size() - end);
    for (const auto& unit : duration_units)
    {
        if (unit.suffix != suffix)
            continue;
        parsed = std::chrono::milliseconds(
            static_cast<std::int64_t>(amount * unit.milliseconds));
        return true;
    }
    return false;
}

void collect_unknown(const toml::table& table, const std::string& prefix,
                     const std::set<std::string, std::less<>>& asked,
                     std::vector<std::pair<std::string, unsigned>>& unknown)
{
    for (const auto& [name, node] : table)
    {
        std::string path = prefix + std::string(name.str());
        if (asked.contains(path))
            continue;
        if (const auto* inner = node.as_table())
        {
            // An empty table that nothing asked for is as unknown as a key.
            if (!inner->empty())
            {
                collect_unknown(*inner, path + ".", asked, unknown);
                continue;
            }
        }
        unknown.emplace_back(path, node.source().begin.line);
    }
}

std::string at(const std::string& file, unsigned line)
{
    return file + ":" + std::to_string(line) + ": ";
}

} // namespace

bool is_numeric_address(std::string_view address)
{
    auto colon = address.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    std::string host(address.substr(0, colon));
    std::string_view port_text = address.substr(colon + 1);
    unsigned port = 0;
    auto [end, code] = std::from_chars(
        port_text.data(), port_text.data() + port_text.size(), port);
    bool whole = end == port_text.data() + port_text.size();
    in_addr parsed{};
    return code == std::errc() && whole && port >= 1 && port <= 65535 &&
           inet_pton(AF_INET, host.c_str(), &parsed) == 1;
}

document::document(std::unique_ptr<state> parsed) : held(std::move(parsed)) {}
document::document(document&&) noexcept = default;
document& document::operator=(document&&) noexcept = default;
document::~document() = default;

document document::from_file(const std::string& path)
{
    auto parsed = std::make_unique<state>();
    parsed->file = path;
    try
    {
        parsed->root = toml::parse_file(path);
    }
    catch (const toml::parse_error& error)
    {
        throw settings_error(at(path, error.source().begin.line) +
                             std::string(error.description()) +
                             "; correct the file and run --check again");
    }
    return document(std::move(parsed));
}

document document::from_text(std::string_view text, std::string_view name)
{
    auto parsed = std::make_unique<state>();
    parsed->file = name;
    try
    {
        parsed->root = toml::parse(text, name);
    }
    catch (const toml::parse_error& error)
    {
        throw settings_error(
            at(parsed->file, error.source().begin.line) +
            std::string(error.description()) +
            "; correct the declarations and validate them again");
    }
    return document(std::move(parsed));
}

void document::refuse(std::string_view key, std::string_view reason) const
{
    toml::node* node = find(this->held->root, key);
    unsigned line = node == nullptr ? 0 : node->source().begin.line;
    throw settings_error(at(this->held->file, line) + std::string(key) + ": " +
                         std::string(reason));
}

bool document::has(std::string_view key) const
{
    return find(this->held->root, key) != nullptr;
}

std::string document::text(std::string_view key)
{
    if (!this->has(key))
        this->refuse(key, "is missing; add it as a string");
    return this->text_or(key, "");
}

std::string document::text_or(std::string_view key, std::string_view otherwise)
{
    this->held->asked.emplace(key);
    toml::node* node = find(this->held->root, key);
    if (node == nullptr)
        return std::string(otherwise);
    auto value = node->value_exact<std::string>();
    if (!value)
        this->refuse(key, "must be a string");
    if (value->empty())
        this->refuse(key, "must not be empty");
    return *value;
}

std::string document::address(std::string_view key)
{
    if (!this->has(key))
        this->refuse(key, "is missing; give an address as \"IP:PORT\"");
    return this->address_or(key, "");
}

std::string document::address_or(std::string_view key,
                                 std::string_view otherwise)
{
    bool present = this->has(key);
    std::string value = this->text_or(key, otherwise);
    if (present && !is_numeric_address(value))
        this->refuse(key, "must be a numeric address \"IP:PORT\"");
    return value;
}

std::vector<std::string> document::texts(std::string_view key)
{
    this->held->asked.emplace(key);
    std::vector<std::string> values;
    toml::node* node = find(this->held->root, key);
    if (node == nullptr)
        return values;
    toml::array* list = node->as_array();
    if (list == nullptr)
        this->refuse(key, "must be a list of strings");
    for (const auto& element : *list)
    {
        auto value = element.value_exact<std::string>();
        if (!value || value->empty())
            this->refuse(key, "must hold only non-empty strings");
        values.push_back(*value);
    }
    return values;
}

std::vector<std::string> document::addresses(std::string_view key)
{
    auto values = this->texts(key);
    if (values.empty())
        this->refuse(key, "must name at least one address \"IP:PORT\"");
    for (const auto& value : values)
    {
        if (!is_numeric_address(value))
            this->refuse(key,
                         "\"" + value + "\" is no numeric address \"IP:PORT\"");
    }
    return values;
}

std::int64_t document::number_or(std::string_view key, std::int64_t otherwise,
                                 number_range range)
{
    this->held->asked.emplace(key);
    toml::node* node = find(this->held->root, key);
    if (node == nullptr)
        return otherwise;
    auto value = node->value_exact<std::int64_t>();
    if (!value)
        this->refuse(key, "must be a whole number");
    if (*value < range.least || *value > range.most)
        this->refuse(key, "must lie between " + std::to_string(range.least) +
                              " and " + std::to_string(range.most));
    return *value;
}

bool document::flag_or(std::string_view key, bool otherwise)
{
    this->held->asked.emplace(key);
    toml::node* node = find(this->held->root, key);
    if (node == nullptr)
        return otherwise;
    auto value = node->value_exact<bool>();
    if (!value)
        this->refuse(key, "must be true or false");
    return *value;
}

std::chrono::milliseconds document::duration(std::string_view key,
                                             duration_range range)
{
    if (!this->has(key))
        this->refuse(key, "is missing; give a duration such as \"250ms\"");
    return this->duration_or(key, range.least, range);
}

std::chrono::milliseconds
document::duration_or(std::string_view key, std::chrono::milliseconds otherwise,
                      duration_range range)
{
    this->held->asked.emplace(key);
    toml::node* node = find(this->held->root, key);
    if (node == nullptr)
        return otherwise;
    auto value = node->value_exact<std::string>();
    std::chrono::milliseconds parsed{};
    if (!value || !parse_duration(*value, parsed))
        this->refuse(key, "must be a duration with its unit (ms, s, m or h), "
                          "such as \"250ms\"");
    if (parsed < range.least || parsed > range.most)
        this->refuse(key, "must lie between " +
                              std::to_string(range.least.count()) + "ms and " +
                              std::to_string(range.most.count()) + "ms");
    return parsed;
}

std::vector<std::string> document::children(std::string_view key)
{
    std::vector<std::string> names;
    toml::node* node = find(this->held->root, key);
    if (node == nullptr)
        return names;
    toml::table* table = node->as_table();
    if (table == nullptr)
        this->refuse(key, "must be a table");
    for (const auto& [name, child] : *table)
    {
        if (!child.is_table())
            this->refuse(std::string(key) + "." + std::string(name.str()),
                         "must be a table");
        names.emplace_back(name.str());
        // A table of its own may be empty, which leaves all its keys out.
        if (child.as_table()->empty())
            this->held->asked.insert(std::string(key) + "." + names.back());
    }
    return names;
}

void document::finish() const
{
    std::vector<std::pair<std::string, unsigned>> unknown;
    collect_unknown(this->held->root, "", this->held->asked, unknown);
    if (unknown.empty())
        return;
    const auto& [path, line] = unknown.front();
    throw settings_error(at(this->held->file, line) + path +
                         ": is no known key; see docs/CONFIGURATION.md");
}

} // namespace amaranthhatch::settings
