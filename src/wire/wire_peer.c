#include "wire/wire_peer.h"

/* The body of a call.  */
static bool_t
wire_call_body (XDR *xdr, struct peer_call *call)
{
  switch (call->kind)
    {
    case PEER_RENEW:
      return wire_u64 (xdr, &call->u.renew.incarnation)
             && wire_u64 (xdr, &call->u.renew.round)
             && wire_u64 (xdr, &call->u.renew.floor)
             && wire_u64 (xdr, &call->u.renew.applied_offset);
    case PEER_PROMISE:
      return wire_u64 (xdr, &call->u.promise.target)
             && wire_u64 (xdr, &call->u.promise.collector);
    case PEER_APPLIED:
      return wire_u64 (xdr, &call->u.applied.incarnation)
             && wire_u64 (xdr, &call->u.applied.applied_offset);
    case PEER_RELEASED:
      return wire_u64 (xdr, &call->u.released.incarnation)
             && wire_u64 (xdr, &call->u.released.move_offset);
    case PEER_FETCH:
      return wire_u64 (xdr, &call->u.fetch.applied_offset)
             && wire_u64 (xdr, &call->u.fetch.snapshot_offset)
             && xdr_uint32_t (xdr, &call->u.fetch.position);
    case PEER_CERTIFIED:
      return wire_u64 (xdr, &call->u.certified.target)
             && wire_u64 (xdr, &call->u.certified.floor)
             && wire_u64 (xdr, &call->u.certified.collector);
    }
  return FALSE;
}

/* A call between nodes: ITEM is a struct peer_call.  */
bool_t
wire_peer_call (XDR *xdr, void *item)
{
  struct peer_call *call = item;
  enum_t kind = (enum_t)call->kind;

  if (!xdr_enum (xdr, &kind) || !wire_u64 (xdr, &call->target_incarnation))
    return FALSE;
  call->kind = (enum peer_kind)kind;
  return wire_call_body (xdr, call);
}

/* The body of a reply without error.  */
static bool_t
wire_reply_body (XDR *xdr, struct peer_reply *reply)
{
  switch (reply->kind)
    {
    case PEER_RENEW:
      return wire_bool (xdr, &reply->u.renew.granted)
             && wire_u64 (xdr, &reply->u.renew.round)
             && wire_u64 (xdr, &reply->u.renew.applied_offset);
    case PEER_PROMISE:
      return wire_u64 (xdr, &reply->u.promise.target)
             && wire_bool (xdr, &reply->u.promise.promised)
             && wire_i64 (xdr, &reply->u.promise.remaining_usec)
             && wire_u64 (xdr, &reply->u.promise.floor);
    case PEER_FETCH:
      return wire_u64 (xdr, &reply->u.fetch.snapshot_offset)
             && xdr_uint32_t (xdr, &reply->u.fetch.position)
             && xdr_uint32_t (xdr, &reply->u.fetch.total_length)
             && wire_bytes (xdr, &reply->u.fetch.bytes, &reply->u.fetch.length,
                            FETCH_BYTES_MAX);
    case PEER_APPLIED:
    case PEER_RELEASED:
    case PEER_CERTIFIED:
      return TRUE;
    }
  return FALSE;
}

/* A reply between nodes: ITEM is a struct peer_reply.  */
bool_t
wire_peer_reply (XDR *xdr, void *item)
{
  struct peer_reply *reply = item;
  enum_t kind = (enum_t)reply->kind;
  enum_t code = (enum_t)reply->code;

  if (!xdr_enum (xdr, &kind) || !xdr_enum (xdr, &code))
    return FALSE;
  reply->kind = (enum peer_kind)kind;
  reply->code = (enum err)code;
  return reply->code != ERR_NONE || wire_reply_body (xdr, reply);
}
