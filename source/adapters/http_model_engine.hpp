#pragma once

#include "adapters/model_engine.hpp"

namespace amaranthhatch::adapters
{

/// @brief A model engine with completions streamed as server-sent events.
class http_model_engine : public model_engine
{
public:
    std::unique_ptr<token_stream>
    generate(std::string_view address, const generation& asked,
             std::chrono::milliseconds total_limit) override;

    void cancel(std::string_view address, std::string_view request) override;
};

} // namespace amaranthhatch::adapters
