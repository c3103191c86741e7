#pragma once

// HTTP/1.1 on Boost.Beast, behind a small header.
//
// Sections:
//   1. Server: bounded bodies, headers and times; one handler for all paths
//   2. Client connection: one request at a time, callbacks on its own thread
//   3. Caller: requests as coroutines, over a connection that is kept
//
// All run on the io_context they are given, which one thread runs.

#include "base/Error.h"
#include "base/Time.h"

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
  Duration requestTimeout_ = 10s; // from the first byte to the whole request
  Duration idleTimeout_ = 300s;   // between requests
  std::size_t maxConnections_ = 20'000;
};

struct HttpRequest
{
  std::uint64_t connection_ = 0; // unique within one server
  std::string method_;
  std::string path_;
  std::string body_;
  std::string traceParent_; // header traceparent
  std::string secret_;      // header authorization, without "Bearer "
};

struct HttpResponse
{
  unsigned status_ = 200;
  std::string body_;
  std::string contentType_ = "application/json";
  bool closeConnection_ = false; // the connection ends with this reply
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

  // Binds and starts accepting; returns the port.
  Expected<std::uint16_t> Listen(const std::string& aHost, std::uint16_t aPort);
  // Takes no more connections; open ones end after their next reply.
  void StopAccepting();
  // Called when a connection has ended.
  void SetClosedCallback(std::function<void(std::uint64_t)> aCallback);
  // Called before a connection is served; false ends it. May take time.
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

  // Each call ends in exactly one of opened_ or lost_. `aFrom`: IP to connect
  // from, or empty.
  void Open(const std::string& aHost,
            std::uint16_t aPort,
            const std::string& aFrom = {});
  // Each call ends in exactly one of answered_ or lost_, unless closed.
  // An empty body is sent as a GET.
  void SendRequest(std::string_view aPath,
                   std::string aBody,
                   std::string_view aSecret = {},
                   std::string_view aTrace = {});
  // Headers that every later request carries besides.
  void SetHeaders(std::vector<std::pair<std::string, std::string>> aHeaders);
  // Ends the connection; no callback follows.
  void Close();

private:
  struct Impl;
  std::shared_ptr<Impl> impl_;
};

// ---- 3. Caller

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

  // One request at a time; connects first if there is no connection.
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

// One request on a connection of its own; blocks until it is over.
HttpCallResult
CallAndWait(const std::string& aHost,
            std::uint16_t aPort,
            const std::string& aPath,
            const std::string& aBody,
            Duration aLimit,
            const std::string& aSecret);

} // namespace jaydoor
