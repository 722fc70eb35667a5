#include "kept_worker.hpp"

#include <algorithm>
#include <cctype>
#include <cstdlib>

#include <sys/socket.h>

#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace amaranthhatch::tests
{

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace
{

std::string header_value(const std::string& head, const std::string& name)
{
    auto lower = [](std::string text)
    {
        std::ranges::transform(text, text.begin(),
                               [](unsigned char character)
                               { return std::tolower(character); });
        return text;
    };
    auto mark = "\r\n" + lower(name) + ": ";
    auto found = lower(head).find(mark);
    if (found == head.npos)
        return {};
    auto begin = found + mark.size();
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

} // namespace

kept_worker::kept_worker(std::function<std::string(const arrival&)> respond)
    : respond(std::move(respond)),
      listener(this->loop, {boost::asio::ip::address_v4::loopback(), 0}),
      acceptor([this] { this->accept(); })
{
}

kept_worker::~kept_worker()
{
    this->stopping = true;
    {
        error_code ignored;
        tcp::socket wake(this->loop);
        wake.connect(this->listener.local_endpoint(), ignored);
    }
    this->acceptor.join();
    // Closing a socket doesn't end a blocking read on it.
    for (auto& caller : this->callers)
        shutdown(caller.native_handle(), SHUT_RDWR);
    for (auto& server : this->servers)
        server.join();
}

std::string kept_worker::address() const
{
    return "127.0.0.1:" +
           std::to_string(this->listener.local_endpoint().port());
}

int kept_worker::arrivals(const std::string& id)
{
    std::lock_guard lock(this->guard);
    return this->counts[id];
}

void kept_worker::accept()
{
    for (;;)
    {
        error_code ignored;
        tcp::socket caller(this->loop);
        this->listener.accept(caller, ignored);
        if (this->stopping)
            return;
        auto& kept = this->callers.emplace_back(std::move(caller));
        this->servers.emplace_back([this, &kept] { this->serve(kept); });
    }
}

void kept_worker::serve(tcp::socket& caller)
{
    std::string received;
    for (int number = 0;; number++)
    {
        error_code error;
        auto buffer = boost::asio::dynamic_buffer(received);
        auto head_bytes =
            boost::asio::read_until(caller, buffer, "\r\n\r\n", error);
        if (error)
            return;
        auto head = received.substr(0, head_bytes);
        received.erase(0, head_bytes);
        auto body_bytes = static_cast<std::size_t>(
            std::atoi(header_value(head, "Content-Length").c_str()));
        if (received.size() < body_bytes)
            boost::asio::read(
                caller, buffer,
                boost::asio::transfer_exactly(body_bytes - received.size()),
                error);
        if (error)
            return;
        received.erase(0, body_bytes);
        arrival arrived{header_value(head, "Request-Id"), number, 0};
        {
            std::lock_guard lock(this->guard);
            arrived.earlier_of_id = this->counts[arrived.id]++;
        }
        boost::asio::write(caller, boost::asio::buffer(this->respond(arrived)),
                           error);
    }
}

} // namespace amaranthhatch::tests
