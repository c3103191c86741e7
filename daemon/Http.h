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
  std::uint32_t headerBytes_ = 8U * 1024;
  std::uint64_t bodyBytes_ = 512UL * 1024;
  Duration headTimeout_ = 10s;  // from the first byte to the whole request
  Duration idleTimeout_ = 300s; // between requests
  std::size_t connections_ = 20'000;
};

struct HttpCall
{
  std::uint64_t connection_ = 0; // unique within one server
  std::string method_;
  std::string path_;
  std::string body_;
  std::string trace_;  // header traceparent
  std::string secret_; // header authorization, without "Bearer "
};

struct HttpReply
{
  unsigned status_ = 200;
  std::string body_;
  std::string type_ = "application/json";
  bool close_ = false; // the connection ends with this reply
};

using HttpHandler = std::function<boost::asio::awaitable<HttpReply>(HttpCall)>;

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
  void OnClosed(std::function<void(std::uint64_t)> aCallback);
  // Called before a connection is served; false ends it. May take time.
  void OnAccepted(std::function<boost::asio::awaitable<bool>(std::uint64_t)>);
  std::size_t Connections() const;

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
  void Post(std::string_view aPath,
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

struct HttpAnswer
{
  unsigned status_ = 0; // 0: no answer; the request may have been received
  std::string body_;
};

class HttpCaller
{
public:
  HttpCaller(boost::asio::io_context& aContext,
             std::string aHost,
             std::uint16_t aPort,
             std::string aFrom = {});
  ~HttpCaller();
  HttpCaller(const HttpCaller&) = delete;
  HttpCaller& operator=(const HttpCaller&) = delete;

  // One request at a time; connects first if there is no connection.
  boost::asio::awaitable<HttpAnswer> Call(std::string aPath,
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
HttpAnswer
CallAndWait(const std::string& aHost,
            std::uint16_t aPort,
            const std::string& aPath,
            const std::string& aBody,
            Duration aLimit,
            const std::string& aSecret);

} // namespace jaydoor
