// Messages between entry instances. The structs mirror the classes of
// src/wisterialoom/core/fleet/peer.py, which document the fields.
// Every field is optional on the wire: a field that has its default value is omitted.
// Never reuse or renumber a field. Raise VERSION if older releases must reject the
// messages.
//
// To generate the Python code, which is committed (Thrift 0.17 or later):
//   thrift --gen py:slots -out src idl/peer.thrift && rm -f src/__init__.py

namespace py wisterialoom.peer.gen

const i32 VERSION = 1

enum MemberStatus {
  ALIVE = 0
  SUSPECT = 1
  LEAVING = 2
  DEAD = 3
}

enum ClaimStateWire {
  GRANTED = 0
  HELD = 1
  UNAVAILABLE = 2
  FULL = 3
}

struct MemberUpdate {
  1: optional string name
  2: optional string address
  3: optional string availability_zone
  4: optional i64 incarnation
  5: optional MemberStatus status
}

struct ServerLoad {
  1: optional string server
  2: optional i64 serial
  3: optional i64 running
  4: optional i64 waiting
  5: optional list<string> resident
  6: optional list<string> draining
  7: optional bool leaving
  8: optional string incarnation
  9: optional i64 kv_free
  10: optional i64 epoch
  11: optional string steward
  12: optional bool unreachable
}

struct LoadChange {
  1: optional string server
  2: optional i64 epoch
  3: optional i64 base
  4: optional i64 serial
  5: optional i64 running
  6: optional i64 waiting
  7: optional i64 kv_free
}

struct LeavingServer {
  1: optional string server
  2: optional string incarnation
}

struct Heartbeat {
  1: optional i64 serial
  2: optional i64 generation
  3: optional i64 config_age_ms
  4: optional list<MemberUpdate> members
  5: optional list<ServerLoad> loads
  6: optional list<LoadChange> changes
  7: optional i64 digest
  8: optional list<LeavingServer> leaving
}

struct HeartbeatAck {
  1: optional i64 serial
  2: optional i64 generation
  3: optional i64 config_age_ms
  4: optional list<MemberUpdate> members
  5: optional list<ServerLoad> loads
  6: optional list<LoadChange> changes
  7: optional i64 digest
  8: optional list<LeavingServer> leaving
}

struct IndirectPing {
  1: optional i64 serial
  2: optional string target
}

struct StateSync {
  1: optional list<MemberUpdate> members
  2: optional list<ServerLoad> loads
  3: optional bool wants_reply
  4: optional bool wants_loads
  5: optional bool whole
}

struct LoadPull {
  1: optional list<string> servers
}

struct ListingPull {
}

struct ListedServer {
  1: optional string name
  2: optional string incarnation
  3: optional string address
  4: optional string availability_zone
  5: optional map<string, string> labels
  6: optional bool leaving
}

struct ListingPush {
  1: optional list<ListedServer> servers
}

struct ConfigPull {
  1: optional i64 generation
  2: optional i64 serial
}

struct ConfigPush {
  1: optional i64 generation
  2: optional binary body
  3: optional i64 serial
  4: optional i64 config_age_ms
}

struct ClaimRequest {
  1: optional i64 bucket
  2: optional string key
  3: optional string nonce
  4: optional string digest
  5: optional string owner
  6: optional binary settled
  7: optional string replaces
}

struct ClaimAnswer {
  1: optional string key
  2: optional string nonce
  3: optional ClaimStateWire state
  4: optional binary entry
  5: optional bool maybe_written
}

struct NonceQuery {
  1: optional string key
  2: optional string nonce
}

struct NonceAnswer {
  1: optional string key
  2: optional string nonce
  3: optional bool abandoned
  4: optional bool gone
}

struct LetGo {
  1: optional string server
  2: optional i64 epoch
}

struct ConfirmLetGo {
  1: optional string server
  2: optional i64 epoch
}

struct DemandReport {
  1: optional map<string, double> rates
  2: optional map<string, i64> waiting
}

struct PlanEntry {
  1: optional string server
  2: optional list<string> models
  3: optional list<string> adapters
}

struct PlanMessage {
  1: optional i64 generation
  2: optional i64 serial
  3: optional list<PlanEntry> entries
}

// Exactly one field is set. Each field is named after its class.
union Message {
  1: Heartbeat as_Heartbeat
  2: HeartbeatAck as_HeartbeatAck
  3: IndirectPing as_IndirectPing
  4: ConfigPull as_ConfigPull
  5: ConfigPush as_ConfigPush
  6: ClaimRequest as_ClaimRequest
  7: ClaimAnswer as_ClaimAnswer
  8: NonceQuery as_NonceQuery
  9: NonceAnswer as_NonceAnswer
  10: LetGo as_LetGo
  11: ConfirmLetGo as_ConfirmLetGo
  12: DemandReport as_DemandReport
  13: PlanMessage as_PlanMessage
  14: StateSync as_StateSync
  15: LoadPull as_LoadPull
  16: ListingPull as_ListingPull
  17: ListingPush as_ListingPush
}

struct Envelope {
  1: optional i32 version
  2: optional string sender
  3: optional Message message
}
