#include "batches/results.hpp"

#include "packing/bytes.hpp"

namespace amaranthhatch::batches
{

namespace
{

struct packed_item_result
{
    std::string item;
    bool done = false;
    std::string text;
    MSGPACK_DEFINE(item, done, text)
};

struct packed_page
{
    std::uint32_t total = 0;
    std::vector<packed_item_result> results;
    MSGPACK_DEFINE(total, results)
};

} // namespace

std::string pack(const result_page& page)
{
    packed_page packed{page.total, {}};
    for (const auto& result : page.results)
        packed.results.push_back({result.item, result.done, result.text});
    return packing::to_bytes(packed);
}

std::optional<result_page> unpack_result_page(std::string_view bytes)
{
    auto packed = packing::from_bytes<packed_page>(bytes, "result page");
    if (!packed)
        return std::nullopt;
    result_page page{packed->total, {}};
    for (auto& result : packed->results)
        page.results.push_back(
            {std::move(result.item), result.done, std::move(result.text)});
    return page;
}

} // namespace amaranthhatch::batches
