#include "standin/upstream/journal.hpp"

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <iterator>
#include <utility>

#include "standin/upstream/wire.hpp"

namespace currantshed::standin::postgres {

namespace {

constexpr char kTermsEntry = 'T';
constexpr char kRecordEntry = 'R';
constexpr char kTruncationEntry = 'X';

term_state
ReadTerms(message_reader& aReader)
{
  const auto term = aReader.Int64();
  const auto role = static_cast<server_role>(aReader.Byte());
  primary_address primary;
  primary.address = std::string(aReader.Text());
  primary.port = static_cast<std::uint16_t>(aReader.Int16());
  return { term, role, std::move(primary) };
}

bool
TakeEntry(const message& aEntry, durable_state& aState)
{
  message_reader reader(aEntry.body);
  if (aEntry.type == kTermsEntry) {
    aState.terms = ReadTerms(reader);
    return !reader.Failed();
  }
  if (aEntry.type == kTruncationEntry) {
    aState.log.Truncate(reader.Int64());
    return !reader.Failed();
  }
  auto record = DecodeRecord(aEntry.body);
  if (!record || aEntry.type != kRecordEntry) {
    return false;
  }
  aState.log.Append(std::move(*record));
  return true;
}

// The number of bytes that hold complete entries.
std::size_t
TakeEntries(std::string_view aBytes, durable_state& aState)
{
  std::size_t taken = 0;
  message entry;
  while (ReadMessage(aBytes.substr(taken), false, entry) ==
         message_end::kWhole) {
    if (!TakeEntry(entry, aState)) {
      break;
    }
    taken += entry.size;
  }
  return taken;
}

std::string
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  return { std::istreambuf_iterator<char>(file), {} };
}

} // namespace

journal::journal(std::string aPath, durable_state& aState)
  : mPath(std::move(aPath))
{
  if (mPath.empty()) {
    return;
  }
  const auto bytes = ReadFile(mPath);
  const auto taken = TakeEntries(bytes, aState);
  if (taken != bytes.size()) {
    std::filesystem::resize_file(mPath, taken);
  }
  mFile.open(mPath, std::ios::binary | std::ios::app);
}

void
journal::Write(const std::string& aEntry)
{
  if (mPath.empty()) {
    return;
  }
  mFile.write(aEntry.data(), static_cast<std::streamsize>(aEntry.size()));
  mFile.flush();
  if (!mFile) {
    std::cerr << "journal: can't write " << mPath << '\n';
    std::exit(EXIT_FAILURE);
  }
}

void
journal::WriteTerms(const term_state& aState)
{
  std::string entry;
  message_writer writer(entry);
  writer.Begin(kTermsEntry);
  writer.Int64(aState.Term());
  writer.Byte(static_cast<char>(aState.Role()));
  writer.Text(aState.Primary().address);
  writer.Int16(static_cast<std::int16_t>(aState.Primary().port));
  writer.End();
  Write(entry);
}

void
journal::WriteRecord(const log_record& aRecord)
{
  if (mPath.empty()) {
    return;
  }
  std::string entry;
  message_writer writer(entry);
  writer.Begin(kRecordEntry);
  EncodeRecord(aRecord, entry);
  writer.End();
  Write(entry);
}

void
journal::WriteTruncation(log_index aLast)
{
  std::string entry;
  message_writer writer(entry);
  writer.Begin(kTruncationEntry);
  writer.Int64(aLast);
  writer.End();
  Write(entry);
}

} // namespace currantshed::standin::postgres
