// jaydoor-standin: one stand-in database server, for tests, demo and bench.

#include "standin/Server.h"

#include <csignal>
#include <iostream>

#include <boost/asio/signal_set.hpp>
#include <cxxopts.hpp>
#include <fmt/format.h>

namespace {

using namespace jaydoor;

// Cuts "host:port,host:port".
std::vector<std::pair<std::string, std::uint16_t>>
ParseAddresses(const std::vector<std::string>& aTexts)
{
  std::vector<std::pair<std::string, std::uint16_t>> addresses;
  for (const auto& text : aTexts) {
    const std::size_t colon = text.rfind(':');
    addresses.emplace_back(
      text.substr(0, colon),
      static_cast<std::uint16_t>(std::stoul(text.substr(colon + 1))));
  }
  return addresses;
}

standin::ServerConfig
ReadConfig(int aCount, char** aArguments)
{
  cxxopts::Options options("jaydoor-standin", "A stand-in database server");
  auto add = options.add_options();
  add("server", "name", cxxopts::value<std::string>());
  add("database", "name", cxxopts::value<std::string>());
  add("zone", "name", cxxopts::value<std::string>());
  add("host", "IP", cxxopts::value<std::string>()->default_value("127.0.0.1"));
  add("bind", "IP", cxxopts::value<std::string>()->default_value(""));
  add("announce-secret",
      "text",
      cxxopts::value<std::string>()->default_value(""));
  add("port", "port, 0: any", cxxopts::value<std::uint16_t>());
  add("slots", "count", cxxopts::value<unsigned>()->default_value("3"));
  add("connections", "limit", cxxopts::value<unsigned>()->default_value("20"));
  add("group-size", "servers", cxxopts::value<unsigned>()->default_value("3"));
  add("announce-to",
      "host:port,...",
      cxxopts::value<std::vector<std::string>>()->default_value(""));
  add("data-file", "path", cxxopts::value<std::string>()->default_value(""));
  add("no-sync", "do not sync the log");
  add(
    "work-us", "statement time", cxxopts::value<int>()->default_value("1000"));
  add("lag-ms", "replication lag", cxxopts::value<int>()->default_value("5"));
  add("connect-ms",
      "connection cost",
      cxxopts::value<int>()->default_value("10"));
  const auto read = options.parse(aCount, aArguments);

  standin::ServerConfig config;
  config.info_.set_server(read["server"].as<std::string>());
  config.info_.set_database(read["database"].as<std::string>());
  config.info_.set_zone(read["zone"].as<std::string>());
  config.info_.set_host(read["host"].as<std::string>());
  config.info_.set_port(read["port"].as<std::uint16_t>());
  config.info_.set_slots(read["slots"].as<unsigned>());
  config.info_.set_connection_limit(read["connections"].as<unsigned>());
  config.info_.set_group_size(read["group-size"].as<unsigned>());
  config.bind_ = read["bind"].as<std::string>();
  if (config.bind_.empty()) {
    config.bind_ = config.info_.host();
  }
  config.announceSecret_ = read["announce-secret"].as<std::string>();
  config.dataFile_ = read["data-file"].as<std::string>();
  config.sync_ = read.count("no-sync") == 0;
  config.workTime_ = std::chrono::microseconds(read["work-us"].as<int>());
  config.lag_ = std::chrono::milliseconds(read["lag-ms"].as<int>());
  config.connectTime_ = std::chrono::milliseconds(read["connect-ms"].as<int>());
  if (read.count("announce-to") > 0) {
    config.announceTo_ =
      ParseAddresses(read["announce-to"].as<std::vector<std::string>>());
  }
  return config;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  try {
    boost::asio::io_context context(1);
    standin::Server server(context, ReadConfig(aCount, aArguments));
    const auto port = server.Start();
    if (!port) {
      std::cerr << port.error().message_ << "\n";
      return 1;
    }
    boost::asio::signal_set stop(context, SIGTERM, SIGINT);
    stop.async_wait([&context](auto, int) { context.stop(); });
    boost::asio::signal_set leave(context, SIGUSR1);
    leave.async_wait([&server](auto, int) { server.Leave(); });
    context.run();
    return 0;
  } catch (const std::exception& error) {
    std::cerr << error.what() << "\n";
    return 2;
  }
}
