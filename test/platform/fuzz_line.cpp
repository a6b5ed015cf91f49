#include "test/platform/fuzz_line.hpp"

#include <cstdlib>
#include <iostream>
#include <string>

#include "platform/statement_line.hpp"

namespace currantshed::test {

namespace {

const platform::statement_line_codec kCodec;

void
Require(bool aCondition, const char* aWhat, std::string_view aLine)
{
  if (!aCondition) {
    std::cerr << aWhat << ": " << aLine << '\n';
    std::abort();
  }
}

// A caller's text is sent to the server unchanged, so it must be part of the
// line.
void
CheckCaller(std::string_view aLine)
{
  const auto read = kCodec.ReadCaller(aLine);
  if (!read || read->ends) {
    return;
  }
  const auto& asked = read->asked;
  Require(aLine.find(asked.text) != std::string_view::npos,
          "the text is not part of the caller's line",
          aLine);
  Require(aLine.find(asked.id) != std::string_view::npos,
          "the id is not part of the caller's line",
          aLine);
  if (read->isKnown) {
    Require(!asked.floor, "a caller has set the minimum position", aLine);
  }
}

// A command forwarded by another VM is written in a form that is parsed as the
// same command.
void
CheckRelayed(std::string_view aLine)
{
  const auto read = kCodec.ReadRelayed(aLine);
  if (!read || read->ends || !read->isKnown) {
    return;
  }
  proxy::command sent;
  sent.kind = proxy::command_kind::kVerbatim;
  sent.id = read->asked.id;
  sent.text = read->asked.text;
  std::string out;
  kCodec.WriteCommand(sent, out);
  Require(out.ends_with("\r\n"), "the line has no end", aLine);
  const auto again =
    kCodec.ReadRelayed(std::string_view(out).substr(0, out.size() - 2));
  Require(again && again->asked.text == read->asked.text &&
            again->asked.id == read->asked.id,
          "the command is parsed differently",
          aLine);
}

void
CheckPosition(std::string_view aLine)
{
  if (const auto position = platform::ReadPosition(aLine)) {
    Require(platform::ReadPosition(platform::WritePosition(*position)) ==
              position,
            "the position is parsed differently",
            aLine);
  }
}

} // namespace

void
CheckLine(std::string_view aLine)
{
  (void)kCodec.ReadStart(aLine);
  (void)kCodec.ReadRelayStart(aLine);
  (void)kCodec.ReadServer(aLine);
  (void)kCodec.ReadReport(aLine);
  CheckCaller(aLine);
  CheckRelayed(aLine);
  CheckPosition(aLine);
}

} // namespace currantshed::test
