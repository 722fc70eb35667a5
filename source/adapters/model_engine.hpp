#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace amaranthhatch::adapters
{

/// @brief A generation to start, or to resume after some tokens.
struct generation
{
    std::string request;
    std::string model;
    std::string prompt;
    std::uint32_t max_tokens = 0;
    /// Tokens that were already received; generation goes on after them.
    std::uint32_t resume_from = 0;
    /// The tokens already received, which an engine needs to go on.
    std::string resume_text;
    std::string authorization;
};

/// @brief One generated token.
struct token
{
    std::uint32_t position = 0;
    std::string text;
};

/// @brief How a token stream ended.
enum class stream_end : std::uint8_t
{
    open,
    /// The engine's end mark came after the last token.
    whole,
    /// No connection stood; the engine can't have run it.
    not_sent,
    /// The stream ended or broke without an end mark.
    cut,
    /// A token of another request or position came.
    crossed,
    /// The engine refused the request as one that can never be done.
    refused,
    /// The engine failed in a way that may pass.
    failed
};

/// @brief A running generation.
class token_stream
{
public:
    virtual ~token_stream() = default;

    /// @brief Appends the tokens that arrive within a time.
    virtual stream_end pump(std::chrono::milliseconds wait,
                            std::vector<token>& arrived) = 0;

    /// @brief The engine's words where it refused or failed.
    virtual std::string_view detail() const = 0;
};

/// @brief A model engine that batches continuously.
class model_engine
{
public:
    virtual ~model_engine() = default;

    virtual std::unique_ptr<token_stream>
    generate(std::string_view address, const generation& asked,
             std::chrono::milliseconds total_limit) = 0;

    /// @brief Frees the engine of a generation; harmless where it has ended.
    virtual void cancel(std::string_view address, std::string_view request) = 0;
};

} // namespace amaranthhatch::adapters
