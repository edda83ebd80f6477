@0xc3a5f0d1b7e24986;

# Messages between hosts. Each is sent after a keyed hash of its bytes.

enum MemberStatus {
  alive @0;
  suspect @1;
  dead @2;
  left @3;
}

struct MemberUpdate {
  name @0 :Text;
  address @1 :Text;
  dataCentre @2 :Text;
  incarnation @3 :UInt64;
  status @4 :MemberStatus;
  configVersion @5 :Int64;
  configThrough @6 :Int64;
  callerAddress @7 :Text;
  milliCores @8 :UInt32;
}

struct LeavingEndpoint {
  address @0 :Text;
  incarnation @1 :UInt64;
}

struct AccountUse {
  account @0 :Text;
  perSecond @1 :Float32;
}

enum GossipKind {
  ping @0;
  ack @1;
  indirectPing @2;
}

struct Gossip {
  kind @0 :GossipKind;
  sender @1 :MemberUpdate;
  target @2 :Text;
  sequence @3 :UInt64;
  probe @4 :UInt64;
  subject @5 :Text;
  members @6 :List(MemberUpdate);
  leaving @7 :List(LeavingEndpoint);
  uses @8 :List(AccountUse);
  knows @9 :UInt32;
}

# Request for a router's configuration, and the reply.
struct TransferRequest {
  nonce @0 :UInt64;
  target @1 :Text;
}

struct TransferReply {
  nonce @0 :UInt64;
  through @1 :Int64;
  version @2 :Int64;
  document @3 :Data;
}

enum StageKind {
  submit @0;
  accepted @1;
  results @2;
  received @3;
  cancel @4;
  free @5;
  moved @6;
}

struct StageNeed {
  pool @0 :Text;
  after @1 :List(UInt16);
  count @2 :UInt16;
  resultBytes @3 :UInt64;
}

# Times are in milliseconds, relative to when the message was sent.
struct StageOrder {
  requestId @0 :Text;
  key @1 :Text;
  priority @2 :Int32;
  objectiveMs @3 :Int64;
  deadlineMs @4 :Int64;
  stages @5 :List(StageNeed);
  dataCentre @6 :Text;
  enginePool @7 :Text;
  sharedName @8 :Data;
  sharedTokens @9 :UInt32;
  ownTokens @10 :UInt32;
  isBegun @11 :Bool;
  # Set for prompts that are placed by their cost: the sizes of the parts that
  # `sharedName` lists and of the last one, the id of that one, and what is
  # expected of the answer.
  partTokens @12 :List(UInt32);
  lastPart @13 :Text;
  outputMs @14 :UInt32;
  outputTokens @15 :UInt32;
  gapMs @16 :UInt32;
  # Whether only endpoints of `regions` may be used.
  isRegional @17 :Bool;
  regions @18 :List(Text);
}

struct StageMaker {
  endpoint @0 :Text;
  address @1 :Text;
  dataCentre @2 :Text;
  pool @3 :Text;
}

struct StageResult {
  maker @0 :UInt16;
  handle @1 :Text;
}

struct StageMessage {
  kind @0 :StageKind;
  number @1 :UInt64;
  order @2 :StageOrder;
  makers @3 :List(StageMaker);
  results @4 :List(StageResult);
  failure @5 :Text;
  retryAfterMs @6 :UInt32;
  engine @7 :Text;
  # Stage of each result, in a message about stages that have ended.
  resultStages @8 :List(UInt16);
  # In `free`: the request whose final call gave its first event or ended.
  placedRequest @9 :Text;
  hasFirstEvent @10 :Bool;
  hasEnded @11 :Bool;
}

enum StoreTopic {
  configuration @0;
  endpoints @1;
}

struct StoreRecord {
  offset @0 :Int64;
  key @1 :Text;
  value @2 :Data;
  # Whether the value is compressed by zlib.
  isCompressed @3 :Bool;
  # Era of the offset.
  era @4 :Int64;
}

struct RemovedRun {
  name @0 :Text;
  incarnation @1 :Int64;
  sequence @2 :Int64;
  isLeaving @3 :Bool;
}

# A topic update, `store.TopicUpdate`. The records are those from `first` to
# before `end` that changed something. If both are equal, there are none, and a
# receiver with a lower offset reads the missing ones from the store; only a
# snapshot has records then: what the sender holds true. Offsets of different eras can't
# be compared; builds without the field `era` send 0, which is never newer.
struct TopicNews {
  topic @0 :StoreTopic;
  first @1 :Int64;
  end @2 :Int64;
  ageMs @3 :UInt32;
  records @4 :List(StoreRecord);
  era @5 :Int64;
  # Only in a snapshot. Apart from the records, as older builds would take a run
  # among them for a live one.
  removed @6 :List(RemovedRun);
  # Whether the sender passes on the evacuations of data centres, which builds
  # without this field leave out of the configuration's records.
  isComplete @7 :Bool;
}

# One datagram of topic updates.
struct StoreNews {
  topics @0 :List(TopicNews);
  # Whether the receiver passes it on to the hosts of its data centre.
  mustRelay @1 :Bool;
}

struct PromptParts {
  parts @0 :List(Text);
  # Time between the first and the last event of the answer.
  answeredMs @1 :UInt32;
}

# Times are in milliseconds before or after the message was sent.
struct CrashReport {
  endpoint @0 :Text;
  incarnation @1 :UInt64;
  ageMs @2 :Int64;
  prompts @3 :List(PromptParts);
}

struct PartStart {
  part @0 :Text;
  ageMs @1 :Int64;
  # How long the answer went on. Hosts that tell only first events send 0, which
  # clears a part of no crash.
  answeredMs @2 :UInt32;
}

struct PromptBlock {
  parts @0 :List(Text);
  round @1 :UInt32;
  isActive @2 :Bool;
  sinceMs @3 :Int64;
  endsInMs @4 :Int64;
  heldMs @5 :Int64;
  # Whether a block that ended did so after an answer that went on. Other hosts
  # end blocks at a first event, which proves nothing.
  isProven @6 :Bool;
}

struct EndpointLimit {
  endpoint @0 :Text;
  incarnation @1 :UInt64;
  perSecond @2 :Float64;
  ageMs @3 :Int64;
}

# A reply of an endpoint that was broken off, as no end was in sight.
struct EndlessReply {
  endpoint @0 :Text;
  incarnation @1 :UInt64;
  repeats @2 :UInt8;
  ageMs @3 :Int64;
}

# What a host learned about endpoints and prompts.
struct Advisories {
  wantsAll @0 :Bool;
  crashes @1 :List(CrashReport);
  starts @2 :List(PartStart);
  blocks @3 :List(PromptBlock);
  limits @4 :List(EndpointLimit);
  endless @5 :List(EndlessReply);
}

# A request for a permit to send a request to an endpoint with a limit, and the
# reply of the host that gives the permits of that endpoint.
enum PermitKind {
  request @0;
  granted @1;
  denied @2;
}

struct Permit {
  kind @0 :PermitKind;
  number @1 :UInt64;
  endpoint @2 :Text;
  incarnation @3 :UInt64;
  perSecond @4 :Float64;
  # Longest wait that a request accepts, or the wait that a reply tells.
  waitMs @5 :UInt32;
}
