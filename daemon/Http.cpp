#include "daemon/Http.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

namespace jaydoor {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kReadBytes = 4096; // initial size of a read buffer
constexpr std::uint64_t kMaxAnswerBytes = 16UL * 1024 * 1024;
constexpr Duration kAcceptRetryDelay = 100ms; // without a free descriptor
// A request that takes longer to arrive may make room for another connection.
constexpr Duration kSlowRequest = 1s;
// Responses of this size, such as the metrics, are sent however short memory
// is.
constexpr std::size_t kAlwaysServedBytes = 64UL * 1024;
// Copies of a request's body while it is processed.
constexpr std::size_t kBodyCopies = 2;

void
SetSocketOptions(Tcp::socket& aSocket)
{
  boost::system::error_code ignored;
  aSocket.set_option(Tcp::no_delay(true), ignored);
}

std::string_view
ToView(beast::string_view aText)
{
  return { aText.data(), aText.size() };
}

HttpRequest
ToHttpRequest(http::request<http::string_body>&& aRequest,
              std::uint64_t aConnection)
{
  HttpRequest call;
  call.connection_ = aConnection;
  call.method_ = aRequest.method_string();
  call.path_ = aRequest.target();
  call.traceParent_ = aRequest["traceparent"];
  std::string_view secret = ToView(aRequest[http::field::authorization]);
  if (secret.starts_with(kBearer)) {
    call.secret_ = secret.substr(kBearer.size());
  }
  call.body_ = std::move(aRequest.body());
  return call;
}

std::string
MakeRefusalBody(std::string_view aRemedy)
{
  return fmt::format(R"({{"outcome":"not_run","reason":"bad_request",)"
                     R"("remedy":"{}"}})",
                     aRemedy);
}

} // namespace

struct HttpServer::Impl : std::enable_shared_from_this<HttpServer::Impl>
{
  Impl(asio::io_context& aContext, HttpLimits aLimits, HttpHandler aHandler)
    : context_(aContext)
    , acceptor_(aContext)
    , limits_(aLimits)
    , handler_(std::move(aHandler))
  {
  }

  asio::awaitable<void> Accept()
  {
    auto self = shared_from_this();
    while (acceptor_.is_open()) {
      boost::system::error_code error;
      Tcp::socket socket = co_await acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        // Without a free descriptor the next call would fail at once.
        Count(ClientVerdict::AcceptFailed);
        asio::steady_timer timer(context_, kAcceptRetryDelay);
        co_await timer.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
        continue;
      }
      if (connectionCount_ >= limits_.maxConnections_ && !CloseOldest()) {
        Count(ClientVerdict::AcceptPaused);
        continue; // the destructor closes the socket
      }
      SetSocketOptions(socket);
      asio::co_spawn(
        context_, Serve(std::move(socket), nextConnection_++), asio::detached);
    }
  }

  void Count(ClientVerdict aVerdict)
  {
    if (limits_.budget_ != nullptr) {
      limits_.budget_->Count(aVerdict);
    }
  }

  // Ends the connection that has been idle longest, or one whose request takes
  // long to arrive. Returns false if there is none.
  bool CloseOldest()
  {
    const auto now = std::chrono::steady_clock::now();
    if (!idle_.empty()) {
      idle_.begin()->second->cancel();
      idle_.erase(idle_.begin());
      Count(ClientVerdict::ClosedUnopened);
      return true;
    }
    if (!receiving_.empty() &&
        now - receiving_.begin()->second.second >= kSlowRequest) {
      receiving_.begin()->second.first->cancel();
      receiving_.erase(receiving_.begin());
      Count(ClientVerdict::ClosedPartial);
      return true;
    }
    return false;
  }

  asio::awaitable<void> Serve(Tcp::socket aSocket, std::uint64_t aId)
  {
    auto self = shared_from_this();
    connectionCount_++;
    beast::tcp_stream stream(std::move(aSocket));
    const bool accepted = !acceptCallback_ || co_await acceptCallback_(aId);
    if (accepted) {
      beast::flat_buffer buffer;
      while (co_await ServeOne(stream, buffer, aId)) {
      }
    }
    boost::system::error_code ignored;
    stream.socket().shutdown(Tcp::socket::shutdown_both, ignored);
    stream.close();
    connectionCount_--;
    if (closedCallback_) {
      closedCallback_(aId);
    }
  }

  // Serves one request. Returns true if the connection stays open.
  asio::awaitable<bool> ServeOne(beast::tcp_stream& aStream,
                                 beast::flat_buffer& aBuffer,
                                 std::uint64_t aId)
  {
    boost::system::error_code error;
    if (aBuffer.size() == 0) {
      aStream.expires_after(limits_.idleTimeout_);
      const std::uint64_t wait = nextWait_++;
      idle_[wait] = &aStream;
      const std::size_t byteCount = co_await aStream.async_read_some(
        aBuffer.prepare(kReadBytes),
        asio::redirect_error(asio::use_awaitable, error));
      idle_.erase(wait);
      if (error) {
        co_return false;
      }
      aBuffer.commit(byteCount);
    }
    http::request_parser<http::string_body> parser;
    parser.header_limit(limits_.maxHeaderBytes_);
    parser.body_limit(limits_.maxBodyBytes_);
    aStream.expires_after(limits_.requestTimeout_);
    const std::uint64_t wait = nextWait_++;
    receiving_[wait] = { &aStream, std::chrono::steady_clock::now() };
    co_await http::async_read_header(
      aStream,
      aBuffer,
      parser,
      asio::redirect_error(asio::use_awaitable, error));
    MemoryCharge charge(limits_.budget_, MemoryPlace::Http);
    bool fits = true;
    if (!error) {
      const std::size_t size = CountBodyBytes(parser) * kBodyCopies;
      fits = limits_.budget_ == nullptr || limits_.budget_->MayTake(size);
      if (fits) {
        charge.Set(size);
        co_await http::async_read(
          aStream,
          aBuffer,
          parser,
          asio::redirect_error(asio::use_awaitable, error));
      }
    }
    receiving_.erase(wait);
    if (!fits) {
      co_await RefuseForMemory(aStream);
      co_return false;
    }
    if (error) {
      charge.Set(0);
      co_await Refuse(aStream, error);
      co_return false;
    }
    const bool keepAlive = parser.get().keep_alive();
    const unsigned version = parser.get().version();
    aStream.expires_never();
    HttpResponse reply =
      co_await handler_(ToHttpRequest(parser.release(), aId));
    if (limits_.budget_ != nullptr && reply.body_.size() > kAlwaysServedBytes &&
        !limits_.budget_->MayTake(reply.body_.size())) {
      co_await RefuseForMemory(aStream);
      co_return false;
    }
    charge.Set(reply.body_.size());
    const bool staysOpen =
      keepAlive && !reply.closeConnection_ && acceptor_.is_open();
    co_await Write(aStream, std::move(reply), version, staysOpen, error);
    co_return staysOpen && !error;
  }

  // Returns the size of the body that the header announces, or the largest one
  // allowed if it is not stated.
  template<typename Parser>
  std::size_t CountBodyBytes(const Parser& aParser) const
  {
    if (aParser.chunked()) {
      return limits_.maxBodyBytes_;
    }
    return aParser.content_length() ? *aParser.content_length() : 0;
  }

  asio::awaitable<void> RefuseForMemory(beast::tcp_stream& aStream)
  {
    Count(ClientVerdict::RefusedByBudget);
    HttpResponse reply;
    reply.status_ = 503;
    reply.body_ = MakeRefusalBody("memory is short: send it again later");
    boost::system::error_code ignored;
    co_await Write(aStream, std::move(reply), 11, false, ignored);
  }

  asio::awaitable<void> Write(beast::tcp_stream& aStream,
                              HttpResponse aReply,
                              unsigned aVersion,
                              bool aKeepAlive,
                              boost::system::error_code& aError)
  {
    http::response<http::string_body> response;
    response.version(aVersion);
    response.result(aReply.status_);
    response.set(http::field::content_type, aReply.contentType_);
    response.body() = std::move(aReply.body_);
    response.keep_alive(aKeepAlive);
    response.prepare_payload();
    aStream.expires_after(limits_.requestTimeout_);
    co_await http::async_write(
      aStream, response, asio::redirect_error(asio::use_awaitable, aError));
  }

  // Answers a request that could not be read with the reason and the remedy, if
  // the connection can still be written to.
  asio::awaitable<void> Refuse(beast::tcp_stream& aStream,
                               boost::system::error_code aError)
  {
    HttpResponse reply;
    if (aError == http::error::body_limit) {
      reply.status_ = 413;
      reply.body_ = MakeRefusalBody("send a smaller body");
    } else if (aError == http::error::header_limit) {
      reply.status_ = 431;
      reply.body_ = MakeRefusalBody("send fewer or shorter headers");
    } else if (aError == beast::error::timeout) {
      reply.status_ = 408;
      reply.body_ = MakeRefusalBody("send the whole request sooner");
    } else if (aError.category() ==
               http::make_error_code(http::error::bad_method).category()) {
      reply.status_ = 400;
      reply.body_ = MakeRefusalBody("send a valid HTTP/1.1 request");
    } else {
      co_return;
    }
    boost::system::error_code ignored;
    co_await Write(aStream, std::move(reply), 11, false, ignored);
  }

  asio::io_context& context_;
  Tcp::acceptor acceptor_;
  HttpLimits limits_;
  HttpHandler handler_;
  std::function<void(std::uint64_t)> closedCallback_;
  std::function<asio::awaitable<bool>(std::uint64_t)> acceptCallback_;
  std::uint64_t nextConnection_ = 1;
  std::size_t connectionCount_ = 0;
  std::uint64_t nextWait_ = 1;
  // Connections that wait for a request, and those that receive one, with its
  // start; the oldest first.
  std::map<std::uint64_t, beast::tcp_stream*> idle_;
  std::map<std::uint64_t,
           std::pair<beast::tcp_stream*, std::chrono::steady_clock::time_point>>
    receiving_;
};

HttpServer::HttpServer(asio::io_context& aContext,
                       HttpLimits aLimits,
                       HttpHandler aHandler)
  : impl_(std::make_shared<Impl>(aContext, aLimits, std::move(aHandler)))
{
}

HttpServer::~HttpServer()
{
  StopAccepting();
}

Expected<std::uint16_t>
HttpServer::Listen(const std::string& aHost, std::uint16_t aPort)
{
  boost::system::error_code error;
  const auto address = asio::ip::make_address(aHost, error);
  if (error) {
    return MakeError(
      ErrorKind::Network,
      fmt::format("'{}' is not an IP address; give a numeric one "
                  "such as 127.0.0.1",
                  aHost));
  }
  auto& acceptor = impl_->acceptor_;
  const Tcp::endpoint endpoint(address, aPort);
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  }
  if (!error) {
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return MakeError(
      ErrorKind::Network,
      fmt::format("can't listen on {}:{}: {}; choose a free port of this VM",
                  aHost,
                  aPort,
                  error.message()));
  }
  asio::co_spawn(impl_->context_, impl_->Accept(), asio::detached);
  return acceptor.local_endpoint().port();
}

void
HttpServer::StopAccepting()
{
  boost::system::error_code ignored;
  impl_->acceptor_.close(ignored);
}

void
HttpServer::SetClosedCallback(std::function<void(std::uint64_t)> aCallback)
{
  impl_->closedCallback_ = std::move(aCallback);
}

void
HttpServer::SetAcceptCallback(
  std::function<asio::awaitable<bool>(std::uint64_t)> aCallback)
{
  impl_->acceptCallback_ = std::move(aCallback);
}

std::size_t
HttpServer::CountConnections() const
{
  return impl_->connectionCount_;
}

// ---- Client connection

struct HttpClient::Impl : std::enable_shared_from_this<HttpClient::Impl>
{
  Impl(asio::io_context& aContext, HttpClientEvents aEvents)
    : stream_(aContext)
    , events_(std::move(aEvents))
  {
  }

  void Open(const std::string& aHost,
            std::uint16_t aPort,
            const std::string& aFrom)
  {
    boost::system::error_code error;
    const auto address = asio::ip::make_address(aHost, error);
    if (!error && !aFrom.empty()) {
      const auto from = asio::ip::make_address(aFrom, error);
      stream_.socket().open(from.is_v6() ? Tcp::v6() : Tcp::v4());
      stream_.socket().bind(Tcp::endpoint(from, 0), error);
    }
    if (error) {
      asio::post(stream_.get_executor(),
                 [self = shared_from_this()] { self->HandleLost(); });
      return;
    }
    host_ = aHost;
    stream_.expires_never();
    stream_.async_connect(
      Tcp::endpoint(address, aPort),
      [self = shared_from_this()](boost::system::error_code aError) {
        if (aError) {
          self->HandleLost();
          return;
        }
        SetSocketOptions(self->stream_.socket());
        if (!self->closed_) {
          self->events_.opened_();
          self->WatchWhileIdle();
        }
      });
  }

  // Detects that the other side closes an idle connection, or sends bytes that
  // answer no request.
  void WatchWhileIdle()
  {
    if (awaitingResponse_ || closed_) {
      return;
    }
    stream_.socket().async_wait(
      Tcp::socket::wait_read,
      [self = shared_from_this(),
       requests = requestCount_](boost::system::error_code aError) {
        if (!aError && self->requestCount_ == requests) {
          self->HandleLost();
        }
      });
  }

  // Returns true if bytes have arrived that answer no request. They would be
  // read as the answer to the next one.
  bool HasUnaskedBytes()
  {
    boost::system::error_code ignored;
    return buffer_.size() > 0 || stream_.socket().available(ignored) > 0;
  }

  void SendRequest(std::string_view aPath,
                   std::string aBody,
                   std::string_view aSecret,
                   std::string_view aTrace)
  {
    awaitingResponse_ = true;
    requestCount_++;
    if (HasUnaskedBytes()) {
      asio::post(stream_.get_executor(),
                 [self = shared_from_this()] { self->HandleLost(); });
      return;
    }
    request_ = {};
    request_.method(aBody.empty() ? http::verb::get : http::verb::post);
    request_.version(11);
    request_.target(beast::string_view(aPath.data(), aPath.size()));
    request_.set(http::field::host, host_);
    request_.set(http::field::content_type, "application/json");
    if (!aSecret.empty()) {
      request_.set(http::field::authorization,
                   std::string(kBearer) + std::string(aSecret));
    }
    if (!aTrace.empty()) {
      request_.set("traceparent", std::string(aTrace));
    }
    for (const auto& [name, value] : headers_) {
      request_.set(name, value);
    }
    request_.body() = std::move(aBody);
    request_.prepare_payload();
    http::async_write(stream_,
                      request_,
                      [self = shared_from_this()](
                        boost::system::error_code aError, std::size_t) {
                        if (aError) {
                          self->HandleLost();
                        } else {
                          self->ReadResponse();
                        }
                      });
  }

  void ReadResponse()
  {
    parser_.emplace();
    parser_->body_limit(kMaxAnswerBytes);
    http::async_read(stream_,
                     buffer_,
                     *parser_,
                     [self = shared_from_this()](
                       boost::system::error_code aError, std::size_t) {
                       if (aError) {
                         self->HandleLost();
                       } else {
                         self->HandleResponse();
                       }
                     });
  }

  void HandleResponse()
  {
    if (closed_) {
      return;
    }
    if (http::to_status_class(parser_->get().result_int()) ==
        http::status_class::informational) {
      ReadResponse(); // the answer itself follows
      return;
    }
    awaitingResponse_ = false;
    auto response = parser_->release();
    const bool keepAlive = response.keep_alive();
    events_.answered_(response.result_int(), std::move(response.body()));
    if (!awaitingResponse_ && (!keepAlive || HasUnaskedBytes())) {
      HandleLost();
    }
    WatchWhileIdle();
  }

  void HandleLost()
  {
    if (!closed_) {
      Close();
      events_.lost_();
    }
  }

  void Close()
  {
    closed_ = true;
    boost::system::error_code ignored;
    stream_.socket().close(ignored);
  }

  beast::tcp_stream stream_;
  std::vector<std::pair<std::string, std::string>> headers_;
  HttpClientEvents events_;
  std::string host_;
  beast::flat_buffer buffer_;
  http::request<http::string_body> request_;
  std::optional<http::response_parser<http::string_body>> parser_;
  std::uint64_t requestCount_ = 0;
  bool awaitingResponse_ = false; // a request was sent, no answer so far
  bool closed_ = false;
};

HttpClient::HttpClient(asio::io_context& aContext, HttpClientEvents aEvents)
  : impl_(std::make_shared<Impl>(aContext, std::move(aEvents)))
{
}

HttpClient::~HttpClient()
{
  impl_->Close();
}

void
HttpClient::Open(const std::string& aHost,
                 std::uint16_t aPort,
                 const std::string& aFrom)
{
  impl_->Open(aHost, aPort, aFrom);
}

void
HttpClient::SendRequest(std::string_view aPath,
                        std::string aBody,
                        std::string_view aSecret,
                        std::string_view aTrace)
{
  impl_->SendRequest(aPath, std::move(aBody), aSecret, aTrace);
}

void
HttpClient::SetHeaders(
  std::vector<std::pair<std::string, std::string>> aHeaders)
{
  impl_->headers_ = std::move(aHeaders);
}

void
HttpClient::Close()
{
  impl_->Close();
}

// ---- Coroutine client

struct HttpCoroutineClient::Impl
  : std::enable_shared_from_this<HttpCoroutineClient::Impl>
{
  Impl(asio::io_context& aContext,
       std::string aHost,
       std::uint16_t aPort,
       std::string aFrom)
    : context_(aContext)
    , doneTimer_(aContext)
    , host_(std::move(aHost))
    , from_(std::move(aFrom))
    , port_(aPort)
  {
  }

  void Connect()
  {
    HttpClientEvents events;
    events.opened_ = [this] { Send(); };
    events.lost_ = [this] {
      open_ = false;
      doneTimer_.cancel();
    };
    events.answered_ = [this](unsigned aStatus, std::string aBody) {
      result_ = { aStatus, std::move(aBody) };
      doneTimer_.cancel();
    };
    client_ = std::make_unique<HttpClient>(context_, std::move(events));
    client_->Open(host_, port_, from_);
  }

  void Send()
  {
    open_ = true;
    client_->SendRequest(path_, std::move(body_), secret_, traceParent_);
  }

  asio::awaitable<HttpCallResult> Call(Duration aLimit)
  {
    auto self = shared_from_this();
    result_ = {};
    doneTimer_.expires_after(aLimit);
    if (open_) {
      Send();
    } else {
      Connect();
    }
    boost::system::error_code ignored;
    co_await doneTimer_.async_wait(
      asio::redirect_error(asio::use_awaitable, ignored));
    if (result_.status_ == 0) {
      Close();
    }
    co_return std::move(result_);
  }

  void Close()
  {
    open_ = false;
    if (client_) {
      client_->Close();
    }
  }

  asio::io_context& context_;
  asio::steady_timer doneTimer_;
  std::unique_ptr<HttpClient> client_;
  std::string host_;
  std::string from_;
  std::uint16_t port_;
  std::string path_;
  std::string body_;
  std::string secret_;
  std::string traceParent_;
  HttpCallResult result_;
  bool open_ = false;
};

HttpCoroutineClient::HttpCoroutineClient(asio::io_context& aContext,
                                         std::string aHost,
                                         std::uint16_t aPort,
                                         std::string aFrom)
  : impl_(std::make_shared<Impl>(aContext,
                                 std::move(aHost),
                                 aPort,
                                 std::move(aFrom)))
{
}

HttpCoroutineClient::~HttpCoroutineClient()
{
  impl_->Close();
}

asio::awaitable<HttpCallResult>
HttpCoroutineClient::Call(std::string aPath,
                          std::string aBody,
                          Duration aLimit,
                          std::string aSecret,
                          std::string aTrace)
{
  impl_->path_ = std::move(aPath);
  impl_->body_ = std::move(aBody);
  impl_->secret_ = std::move(aSecret);
  impl_->traceParent_ = std::move(aTrace);
  return impl_->Call(aLimit);
}

void
HttpCoroutineClient::Close()
{
  impl_->Close();
}

HttpCallResult
CallAndWait(const std::string& aHost,
            std::uint16_t aPort,
            const std::string& aPath,
            const std::string& aBody,
            Duration aLimit,
            const std::string& aSecret)
{
  asio::io_context context(1);
  HttpCallResult answer;
  HttpCoroutineClient caller(context, aHost, aPort);
  asio::co_spawn(
    context,
    [&]() -> asio::awaitable<void> {
      answer = co_await caller.Call(aPath, aBody, aLimit, aSecret);
      caller.Close();
      context.stop();
    },
    asio::detached);
  context.run();
  return answer;
}

} // namespace jaydoor
