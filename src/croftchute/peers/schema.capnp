@0xd1f0a3b7c25e8e41;
# Messages between boxes of croftchute. Struct and field names are those of messages.py.

struct Envelope {
  sender @0 :Text;
  stamp @1 :UInt64;
  messages @2 :List(Message);
}

struct Message {
  union {
    heartbeat @0 :Heartbeat;
    reserve @1 :Reserve;
    granted @2 :Granted;
    declined @3 :Declined;
    released @4 :Released;
    announced @5 :Announced;
    audit @6 :Audit;
    audited @7 :Audited;
    begin @8 :Begin;
    mirror @9 :Mirror;
    mirrored @10 :Mirrored;
    verdict @11 :Verdict;
    finish @12 :Finish;
    boxNotice @13 :BoxNotice;
    allowanceAsk @14 :AllowanceAsk;
    allowanceReply @15 :AllowanceReply;
    crashNews @16 :CrashNews;
    originNews @17 :OriginNews;
    originAsk @18 :OriginAsk;
    originReply @19 :OriginReply;
  }
}

struct ShardDigest {
  shard @0 :Text;
  at @1 :Float64;
  prefillWaitS @2 :Float32;
  freeKvTokens @3 :UInt32;
  freeSlots @4 :UInt32;
}

struct Heartbeat {
  incarnation @0 :UInt64;
  hall @1 :Text;
  address @2 :Text;
  peerPort @3 :UInt16;
  adminPort @4 :UInt16;
  revision @5 :UInt64;
  mapVersion @6 :UInt64;
  leaving @7 :Bool;
  digests @8 :List(ShardDigest);
}

struct Reserve {
  requestId @0 :Data;
  attempt @1 :UInt16;
  shard @2 :Text;
  model @3 :Text;
  caller @4 :Text;
  priority @5 :UInt8;
  promptTokens @6 :UInt32;
  maxTokens @7 :UInt32;
  resumeFrom @8 :UInt32;
  waitedS @9 :Float32;
  timeLeftS @10 :Float32;
  prefix @11 :List(UInt32);
  avoid @12 :List(Text);
}

struct Granted {
  requestId @0 :Data;
  attempt @1 :UInt16;
  shard @2 :Text;
  prefillHash @3 :UInt32;
  decodeHash @4 :UInt32;
  expectedOutput @5 :Float32;
}

struct Declined {
  requestId @0 :Data;
  attempt @1 :UInt16;
  shard @2 :Text;
  code @3 :Text;
  retryAfterS @4 :Float32;
}

struct Released {
  requestId @0 :Data;
  attempt @1 :UInt16;
  shard @2 :Text;
  outputTokens @3 :UInt32;
  confirmed @4 :Bool;
  failedEngine @5 :Text;
  restS @6 :Float32;
}

struct Announced {
  requestId @0 :Data;
  attempt @1 :UInt16;
  shard @2 :Text;
  caller @3 :Text;
  priority @4 :UInt8;
  prefillId @5 :Text;
  decodeId @6 :Text;
  promptTokens @7 :UInt32;
  expectedOutput @8 :Float32;
  timeLeftS @9 :Float32;
}

struct Audit {
  shard @0 :Text;
  keys @1 :List(Text);
}

struct Audited {
  shard @0 :Text;
  asked @1 :List(Text);
  open @2 :List(Text);
}

struct Begin {
  key @0 :Data;
  token @1 :Data;
  epoch @2 :Int64;
}

struct Mirror {
  key @0 :Data;
  token @1 :Data;
  epoch @2 :Int64;
  phase @3 :Text;
  answer @4 :Data;
  status @5 :UInt16;
}

struct Mirrored {
  key @0 :Data;
  token @1 :Data;
  epoch @2 :Int64;
  phase @3 :Text;
  accepted @4 :Bool;
}

struct Verdict {
  key @0 :Data;
  token @1 :Data;
  decision @2 :Text;
  code @3 :Text;
  answer @4 :Data;
  status @5 :UInt16;
}

struct Finish {
  key @0 :Data;
  token @1 :Data;
  epoch @2 :Int64;
  phase @3 :Text;
  answer @4 :Data;
  status @5 :UInt16;
}

struct WorkerNotice {
  worker @0 :Text;
  inFlight @1 :UInt32;
  failures @2 :Float32;
  waitS @3 :Float32;
  changingTo @4 :Text;
  changingS @5 :Float32;
}

struct PrefillSample {
  tokens @0 :UInt32;
  seconds @1 :Float32;
}

struct DemandNotice {
  service @0 :Text;
  asks @1 :UInt32;
  promptTokens @2 :UInt32;
  outputTokens @3 :UInt32;
  ended @4 :UInt32;
  endedTokens @5 :UInt32;
  endedS @6 :Float32;
  prefills @7 :List(PrefillSample);
  roomWaitedS @8 :Float32;
  roomGrants @9 :Float32;
  largeAsks @10 :UInt32;
  largeTokens @11 :UInt32;
  granted @12 :UInt32;
  largeGranted @13 :UInt32;
  prefillsColumns @14 :PrefillSampleColumns;
  ranksColumns @15 :RankRoomNoticeColumns;
  usesColumns @16 :OrganisationUseNoticeColumns;
}

struct RankRoomNoticeColumns {
  rank @0 :List(UInt8);
  waitedS @1 :List(Float32);
  grants @2 :List(Float32);
  waiting @3 :List(UInt32);
}

struct OrganisationUseNoticeColumns {
  name @0 :List(Text);
  askedTokens @1 :List(Float32);
  grantedTokens @2 :List(Float32);
}

# Rows sent column by column: reading takes a sixth of the time. The row forms of these fields stand
# for boxes of an earlier release and are not written any more.

struct WorkerNoticeColumns {
  worker @0 :List(Text);
  inFlight @1 :List(UInt32);
  failures @2 :List(Float32);
  waitS @3 :List(Float32);
  changingTo @4 :List(Text);
  changingS @5 :List(Float32);
}

struct PrefillSampleColumns {
  tokens @0 :List(UInt32);
  seconds @1 :List(Float32);
}

struct BoxNotice {
  startedAt @0 :Float64;
  host @1 :Text;
  noticePort @2 :UInt16;
  controlPort @3 :UInt16;
  configVersion @4 :UInt64;
  workersRevision @5 :UInt64;
  isLeaving @6 :Bool;
  workers @7 :List(WorkerNotice);
  demands @8 :List(DemandNotice);
  introduced @9 :List(Text);
  hall @10 :Text;
  linkMbps @11 :Float32;
  workersColumns @12 :WorkerNoticeColumns;
  leavingWorkers @13 :List(Text);
  limitedWorkersColumns @14 :LimitNoticeColumns;
  pacesColumns @15 :WorkerPaceNoticeColumns;
  reachesWorkers @16 :Bool;
  continuesByVersion @17 :Bool;
  standsBack @18 :Bool;
}

struct WorkerPaceNoticeColumns {
  worker @0 :List(Text);
  told @1 :List(Float32);
  toldAgeS @2 :List(Float32);
  seen @3 :List(Float32);
  seenWeight @4 :List(Float32);
}

struct LimitNoticeColumns {
  worker @0 :List(Text);
  perS @1 :List(Float64);
  namedS @2 :List(Float32);
  leftOutS @3 :List(Float32);
}

struct UsageWant {
  name @0 :Text;
  units @1 :Float64;
  extra @2 :Float64;
  ratePerS @3 :Float64;
  burst @4 :Float64;
  knownForS @5 :Float32;
  keptBack @6 :Float32;
}

struct UsageGrant {
  name @0 :Text;
  units @1 :Float64;
  waitS @2 :Float32;
}

struct UsageReturn {
  name @0 :Text;
  units @1 :Float64;
}

struct AllowanceAsk {
  number @0 :UInt32;
  group @1 :UInt8;
  share @2 :Float64;
  echo @3 :Float64;
  wants @4 :List(UsageWant);
  returns @5 :List(UsageReturn);
  isFirst @6 :Bool;
}

struct AllowanceReply {
  number @0 :UInt32;
  group @1 :UInt8;
  stamp @2 :Float64;
  boxes @3 :UInt16;
  grants @4 :List(UsageGrant);
  liveShare @5 :Float32;
}

struct CrashNoticeColumns {
  digest @0 :List(Data);
  life @1 :List(Text);
  ageS @2 :List(Float32);
}

struct PartNoticeColumns {
  part @0 :List(Text);
  life @1 :List(Text);
  request @2 :List(UInt32);
  ageS @3 :List(Float32);
  isCleared @4 :List(Bool);
}

struct CrashNews {
  noticesColumns @0 :CrashNoticeColumns;
  partsColumns @1 :PartNoticeColumns;
}

struct OriginNews {
  stream @0 :UInt64;
  alias @1 :UInt64;
  origin @2 :UInt64;
  isForRecord @3 :Bool;
  isUrgent @4 :Bool;
}

struct OriginAsk {
  number @0 :UInt32;
  stream @1 :UInt64;
  service @2 :Text;
  withinS @3 :Float32;
}

struct OriginReply {
  number @0 :UInt32;
  origin @1 :UInt64;
  isTold @2 :Bool;
}
