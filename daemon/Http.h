#pragma once

// HTTP/1.1 server and clients, built on Boost.Beast.
//
// Sections:
//   1. Server: limits bodies, headers and times; one handler for all paths
//   2. Client connection: one request at a time, callbacks on its context's
//      thread
//   3. Coroutine client: requests as coroutines over a persistent connection
//
// All of them run on the io_context that they are given; a single thread must
// run it.

#include "base/Error.h"
#include "base/Time.h"
#include "daemon/MemoryBudget.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace jaydoor {

// ---- 1. Server

struct HttpLimits
{
  std::uint32_t maxHeaderBytes_ = 8U * 1024;
  std::uint64_t maxBodyBytes_ = 512UL * 1024;
  Duration requestTimeout_ = 10s; // first to last byte of a request
  Duration idleTimeout_ = 300s;   // between requests
  // At this number, the connection that has been idle longest makes room for
  // the next, else one that sends a request slowly.
  std::size_t maxConnections_ = 20'000;
  // Bodies that do not fit into it are refused (503); null: no budget.
  MemoryBudget* budget_ = nullptr;
};

struct HttpRequest
{
  std::uint64_t connection_ = 0; // unique within one server
  std::string method_;
  std::string path_;
  std::string body_;
  std::string traceParent_; // "traceparent" header
  std::string secret_;      // "authorization" header without "Bearer "
};

struct HttpResponse
{
  unsigned status_ = 200;
  std::string body_;
  std::string contentType_ = "application/json";
  bool closeConnection_ = false; // close the connection after it
};

using HttpHandler =
  std::function<boost::asio::awaitable<HttpResponse>(HttpRequest)>;

class HttpServer
{
public:
  HttpServer(boost::asio::io_context& aContext,
             HttpLimits aLimits,
             HttpHandler aHandler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  // Binds and starts accepting connections. Returns the bound port, or an error
  // if the address is not valid or the port is taken.
  Expected<std::uint16_t> Listen(const std::string& aHost, std::uint16_t aPort);
  // Accepts no more connections; open ones are closed after their next
  // response.
  void StopAccepting();
  // Sets the function that is called when a connection has been closed.
  void SetClosedCallback(std::function<void(std::uint64_t)> aCallback);
  // Sets the function that is awaited before a connection is served; if it
  // returns false, the connection is closed.
  void SetAcceptCallback(
    std::function<boost::asio::awaitable<bool>(std::uint64_t)>);
  std::size_t CountConnections() const;

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

// ---- 2. Client connection

struct HttpClientEvents
{
  std::function<void()> opened_;
  std::function<void()> lost_;
  std::function<void(unsigned aStatus, std::string aBody)> answered_;
};

class HttpClient
{
public:
  HttpClient(boost::asio::io_context& aContext, HttpClientEvents aEvents);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  // Connects. Each call leads to exactly one of opened_ or lost_, unless
  // closed. `aFrom` is the IP to connect from, or empty for any.
  void Open(const std::string& aHost,
            std::uint16_t aPort,
            const std::string& aFrom = {});
  // Sends a GET if the body is empty, else a POST. Each call leads to exactly
  // one of answered_ or lost_, unless closed.
  void SendRequest(std::string_view aPath,
                   std::string aBody,
                   std::string_view aSecret = {},
                   std::string_view aTrace = {});
  // Sets headers that are added to every later request.
  void SetHeaders(std::vector<std::pair<std::string, std::string>> aHeaders);
  // Closes the connection; no callback follows.
  void Close();

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

// ---- 3. Coroutine client

struct HttpCallResult
{
  unsigned status_ = 0; // 0: no answer; the request may have been received
  std::string body_;
};

class HttpCoroutineClient
{
public:
  HttpCoroutineClient(boost::asio::io_context& aContext,
                      std::string aHost,
                      std::uint16_t aPort,
                      std::string aFrom = {});
  ~HttpCoroutineClient();
  HttpCoroutineClient(const HttpCoroutineClient&) = delete;
  HttpCoroutineClient& operator=(const HttpCoroutineClient&) = delete;

  // Sends a request and returns its response; connects first if there is no
  // connection. The next call may be made only after the previous one ended.
  boost::asio::awaitable<HttpCallResult> Call(std::string aPath,
                                              std::string aBody,
                                              Duration aLimit,
                                              std::string aSecret = {},
                                              std::string aTrace = {});
  void Close();

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

// Sends one request on a new connection and blocks until its response arrives
// or `aLimit` has passed.
HttpCallResult
CallAndWait(const std::string& aHost,
            std::uint16_t aPort,
            const std::string& aPath,
            const std::string& aBody,
            Duration aLimit,
            const std::string& aSecret);

} // namespace jaydoor
