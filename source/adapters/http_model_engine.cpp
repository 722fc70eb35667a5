#include "adapters/http_model_engine.hpp"

#include <nlohmann/json.hpp>

#include "http/client.hpp"

namespace amaranthhatch::adapters
{

namespace
{

using nlohmann::json;

constexpr std::chrono::milliseconds cancel_limit{500};
constexpr int status_ok = 200;
constexpr int status_too_many = 429;
constexpr int first_client_error = 400;
constexpr int first_server_error = 500;
constexpr std::string_view data_mark = "data: ";

class http_token_stream : public token_stream
{
public:
    http_token_stream(const http::call& call, const generation& asked)
        : transfer(call), request(asked.request), next(asked.resume_from)
    {
    }

    stream_end pump(std::chrono::milliseconds wait,
                    std::vector<token>& arrived) override
    {
        if (this->end != stream_end::open)
            return this->end;
        this->transfer.pump(wait);
        this->buffer += this->transfer.take();
        this->parse(arrived);
        if (this->end == stream_end::open && this->transfer.ended())
            this->end = this->judge_end();
        return this->end;
    }

    std::string_view detail() const override { return this->words; }

private:
    void parse(std::vector<token>& arrived)
    {
        if (this->transfer.result().status != status_ok)
            return;
        std::size_t line_end = 0;
        while (this->end == stream_end::open &&
               (line_end = this->buffer.find('\n')) != std::string::npos)
        {
            std::string line = this->buffer.substr(0, line_end);
            this->buffer.erase(0, line_end + 1);
            if (line.starts_with(data_mark))
                this->parse_event(line.substr(data_mark.size()), arrived);
        }
    }

    void parse_event(const std::string& text, std::vector<token>& arrived)
    {
        try
        {
            json event = json::parse(text);
            if (event.at("id").get<std::string>() != this->request)
            {
                this->end = stream_end::crossed;
                return;
            }
            if (event.contains("total"))
            {
                bool whole = event["total"].get<std::uint32_t>() == this->next;
                this->end = whole ? stream_end::whole : stream_end::cut;
                return;
            }
            token one;
            one.position = event.at("position").get<std::uint32_t>();
            one.text = event.at("text").get<std::string>();
            if (one.position != this->next)
            {
                this->end = stream_end::crossed;
                return;
            }
            ++this->next;
            arrived.push_back(std::move(one));
        }
        catch (const json::exception&)
        {
            this->end = stream_end::crossed;
        }
    }

    stream_end judge_end()
    {
        const auto& result = this->transfer.result();
        if (result.reached == http::progress::not_sent)
            return stream_end::not_sent;
        if (result.status == status_ok ||
            result.reached == http::progress::unknown)
            return stream_end::cut;
        this->words = this->buffer;
        bool client_error = result.status >= first_client_error &&
                            result.status < first_server_error &&
                            result.status != status_too_many;
        return client_error ? stream_end::refused : stream_end::failed;
    }

    http::stream transfer;
    std::string request;
    std::uint32_t next;
    std::string buffer;
    std::string words;
    stream_end end = stream_end::open;
};

} // namespace

std::unique_ptr<token_stream>
http_model_engine::generate(std::string_view address, const generation& asked,
                            std::chrono::milliseconds total_limit)
{
    http::call call;
    call.method = "POST";
    call.url = "http://" + std::string(address) + "/v1/generate";
    call.headers.add("Content-Type", "application/json");
    if (!asked.authorization.empty())
        call.headers.add("Authorization", asked.authorization);
    json body = {{"id", asked.request},
                 {"model", asked.model},
                 {"prompt", asked.prompt},
                 {"max_tokens", asked.max_tokens},
                 {"resume_from", asked.resume_from},
                 {"resume_text", asked.resume_text}};
    call.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    call.total_limit = total_limit;
    return std::make_unique<http_token_stream>(call, asked);
}

void http_model_engine::cancel(std::string_view address,
                               std::string_view request)
{
    http::call call;
    call.method = "DELETE";
    call.url = "http://" + std::string(address) + "/v1/requests/" +
               std::string(request);
    call.connect_limit = cancel_limit;
    call.total_limit = cancel_limit;
    http::perform(call);
}

} // namespace amaranthhatch::adapters
