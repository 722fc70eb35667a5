#include "raw_server.hpp"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace amaranthhatch::tests
{

using boost::asio::ip::tcp;
using boost::system::error_code;

raw_server::raw_server(std::string bytes)
    : bytes(std::move(bytes)),
      listener(this->loop, {boost::asio::ip::address_v4::loopback(), 0}),
      runner([this] { this->run(); })
{
}

raw_server::~raw_server()
{
    this->stopping = true;
    {
        error_code ignored;
        tcp::socket wake(this->loop);
        wake.connect(this->listener.local_endpoint(), ignored);
    }
    this->runner.join();
}

std::string raw_server::address() const
{
    return "127.0.0.1:" +
           std::to_string(this->listener.local_endpoint().port());
}

void raw_server::run()
{
    while (!this->stopping)
    {
        error_code ignored;
        tcp::socket caller(this->loop);
        this->listener.accept(caller, ignored);
        std::string request;
        auto read = boost::asio::read_until(
            caller, boost::asio::dynamic_buffer(request), "\r\n\r\n", ignored);
        if (read == 0)
            continue;
        this->served_count++;
        boost::asio::write(caller, boost::asio::buffer(this->bytes), ignored);
    }
}

} // namespace amaranthhatch::tests
