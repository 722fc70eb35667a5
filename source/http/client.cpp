#include "http/client.hpp"

#include <utility>

#include <curl/curl.h>

namespace amaranthhatch::http
{

struct stream::state
{
    CURLM* multi = nullptr;
    CURL* easy = nullptr;
    curl_slist* headers = nullptr;
    std::string body_sent;
    std::string arrived;
    reply outcome;
    bool ended = false;
};

namespace
{

struct curl_process
{
    curl_process() { curl_global_init(CURL_GLOBAL_DEFAULT); }
    ~curl_process() { curl_global_cleanup(); }
};

void ensure_initialized()
{
    static curl_process once;
}

std::size_t on_body(char* data, std::size_t size, std::size_t count,
                    void* target)
{
    static_cast<std::string*>(target)->append(data, size * count);
    return size * count;
}

std::size_t on_header(char* data, std::size_t size, std::size_t count,
                      void* target)
{
    std::string_view line(data, size * count);
    auto colon = line.find(':');
    if (colon != line.npos)
    {
        auto value = line.substr(colon + 1);
        while (!value.empty() && value.front() == ' ')
            value.remove_prefix(1);
        while (!value.empty() && (value.back() == '\r' || value.back() == '\n'))
            value.remove_suffix(1);
        static_cast<header_list*>(target)->add(line.substr(0, colon), value);
    }
    return size * count;
}

progress reached(CURL* easy, CURLcode code)
{
    if (code == CURLE_OK)
        return progress::answered;
    // The connect time stays zero until TCP's handshake has ended; before it
    // no byte of the request can have left.
    curl_off_t connected = 0;
    curl_easy_getinfo(easy, CURLINFO_CONNECT_TIME_T, &connected);
    return connected == 0 ? progress::not_sent : progress::unknown;
}

} // namespace

stream::stream(const call& asked) : held(std::make_unique<state>())
{
    ensure_initialized();
    auto& self = *this->held;
    self.body_sent = asked.body;
    self.multi = curl_multi_init();
    self.easy = curl_easy_init();
    for (const auto& line : asked.headers.all())
        self.headers = curl_slist_append(
            self.headers, (line.name + ": " + line.value).c_str());
    self.headers = curl_slist_append(self.headers, "Expect:");
    curl_easy_setopt(self.easy, CURLOPT_URL, asked.url.c_str());
    curl_easy_setopt(self.easy, CURLOPT_CUSTOMREQUEST, asked.method.c_str());
    curl_easy_setopt(self.easy, CURLOPT_HTTPHEADER, self.headers);
    curl_easy_setopt(self.easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(self.easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(self.easy, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(self.easy, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(self.easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(self.easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(asked.connect_limit.count()));
    curl_easy_setopt(self.easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(asked.total_limit.count()));
    curl_easy_setopt(self.easy, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(self.easy, CURLOPT_WRITEDATA, &self.arrived);
    curl_easy_setopt(self.easy, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(self.easy, CURLOPT_HEADERDATA, &self.outcome.headers);
    if (!asked.body.empty() || asked.method == "POST" || asked.method == "PUT")
    {
        curl_easy_setopt(self.easy, CURLOPT_POSTFIELDSIZE,
                         static_cast<long>(self.body_sent.size()));
        curl_easy_setopt(self.easy, CURLOPT_POSTFIELDS, self.body_sent.data());
    }
    curl_multi_add_handle(self.multi, self.easy);
}

stream::~stream()
{
    curl_multi_remove_handle(this->held->multi, this->held->easy);
    curl_easy_cleanup(this->held->easy);
    curl_multi_cleanup(this->held->multi);
    curl_slist_free_all(this->held->headers);
}

void stream::pump(std::chrono::milliseconds wait)
{
    auto& self = *this->held;
    if (self.ended)
        return;
    int running = 0;
    curl_multi_perform(self.multi, &running);
    if (running > 0 && self.arrived.empty() && wait.count() > 0)
    {
        curl_multi_poll(self.multi, nullptr, 0, static_cast<int>(wait.count()),
                        nullptr);
        curl_multi_perform(self.multi, &running);
    }
    long status = 0;
    curl_easy_getinfo(self.easy, CURLINFO_RESPONSE_CODE, &status);
    self.outcome.status = static_cast<int>(status);
    int left = 0;
    while (CURLMsg* message = curl_multi_info_read(self.multi, &left))
    {
        if (message->msg != CURLMSG_DONE)
            continue;
        self.ended = true;
        self.outcome.reached = reached(self.easy, message->data.result);
        self.outcome.detail = curl_easy_strerror(message->data.result);
    }
}

std::string stream::take()
{
    return std::exchange(this->held->arrived, {});
}

bool stream::ended() const
{
    return this->held->ended;
}

const reply& stream::result() const
{
    return this->held->outcome;
}

reply perform(const call& asked)
{
    constexpr std::chrono::milliseconds step{1000};
    stream transfer(asked);
    std::string body;
    while (!transfer.ended())
    {
        transfer.pump(step);
        body += transfer.take();
    }
    reply outcome = transfer.result();
    outcome.body = std::move(body);
    return outcome;
}

} // namespace amaranthhatch::http
