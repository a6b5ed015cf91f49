#include "currantshed/failover/term_record.hpp"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "currantshed/failover/error.hpp"

namespace currantshed::failover {

namespace {

namespace json = boost::json;

constexpr std::size_t kMaxRecordBytes = 65536;

// Each reader returns false if the field is missing or has another type.
bool
ReadText(const json::object& aObject, const char* aField, std::string& aTarget)
{
  const auto* value = aObject.if_contains(aField);
  if (value == nullptr || !value->is_string()) {
    return false;
  }
  aTarget = value->get_string().c_str();
  return true;
}

bool
ReadTerm(const json::object& aObject,
         const char* aField,
         position::term_id& aTarget)
{
  const auto* value = aObject.if_contains(aField);
  if (value == nullptr) {
    return false;
  }
  json::error_code failure;
  aTarget = value->to_number<position::term_id>(failure);
  return !failure;
}

bool
ReadReservations(const json::object& aObject, std::vector<reservation>& aTarget)
{
  const auto* list = aObject.if_contains("reserved");
  if (list == nullptr || !list->is_array()) {
    return false;
  }
  for (const auto& value : list->get_array()) {
    reservation entry;
    if (!value.is_object()) {
      return false;
    }
    const auto& object = value.get_object();
    if (!ReadTerm(object, "term", entry.term) ||
        !ReadText(object, "vm", entry.vm) ||
        !ReadText(object, "incarnation", entry.incarnation)) {
      return false;
    }
    aTarget.push_back(std::move(entry));
  }
  return true;
}

bool
ReadChanges(const json::object& aObject, std::vector<std::string>& aTarget)
{
  const auto* list = aObject.if_contains("changes");
  if (list == nullptr || !list->is_array()) {
    return false;
  }
  for (const auto& value : list->get_array()) {
    if (!value.is_string()) {
      return false;
    }
    aTarget.emplace_back(value.get_string().c_str());
  }
  return true;
}

template<typename T>
void
KeepNewest(std::vector<T>& aList, std::size_t aLimit)
{
  if (aList.size() > aLimit) {
    const auto surplus = aList.size() - aLimit;
    aList.erase(aList.begin(),
                aList.begin() + static_cast<std::ptrdiff_t>(surplus));
  }
}

} // namespace

std::error_code
ParseRecord(std::string_view aText, term_record& aRecord)
{
  aRecord = {};
  if (aText.empty()) {
    return {};
  }
  if (aText.size() > kMaxRecordBytes) {
    return record_error::kTooLarge;
  }
  json::error_code failure;
  const auto value = json::parse({ aText.data(), aText.size() }, failure);
  if (failure || !value.is_object()) {
    return record_error::kNotJson;
  }
  const auto& object = value.get_object();
  term_record record;
  const bool good = ReadTerm(object, "term", record.term) &&
                    ReadText(object, "primary", record.primary) &&
                    ReadTerm(object, "highest", record.highest) &&
                    ReadReservations(object, record.reservations) &&
                    ReadChanges(object, record.changes);
  if (!good) {
    return record_error::kWrongField;
  }
  aRecord = std::move(record);
  return {};
}

std::string
SerializeRecord(const term_record& aRecord)
{
  json::array reserved;
  for (const auto& entry : aRecord.reservations) {
    reserved.push_back(json::object{ { "term", entry.term },
                                     { "vm", entry.vm },
                                     { "incarnation", entry.incarnation } });
  }
  json::array changes;
  for (const auto& change : aRecord.changes) {
    changes.push_back(json::value(change));
  }
  const json::object object{ { "term", aRecord.term },
                             { "primary", aRecord.primary },
                             { "highest", aRecord.highest },
                             { "reserved", std::move(reserved) },
                             { "changes", std::move(changes) } };
  return json::serialize(object);
}

void
PruneRecord(term_record& aRecord,
            const std::string& aVm,
            const incarnation_id& aIncarnation)
{
  auto& list = aRecord.reservations;
  list.erase(std::remove_if(list.begin(),
                            list.end(),
                            [&](const reservation& aEntry) {
                              const bool past = aEntry.term <= aRecord.term;
                              const bool dead =
                                aEntry.vm == aVm &&
                                aEntry.incarnation != aIncarnation;
                              return past || dead;
                            }),
             list.end());
  KeepNewest(list, kRecordReservations);
  KeepNewest(aRecord.changes, kRecordChanges);
}

} // namespace currantshed::failover
