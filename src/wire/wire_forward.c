#include "wire/wire_forward.h"

#include "wire/wire_mesh.h"

/* XDR filter for an outcome and its reason.  */
static bool_t
wire_outcome (XDR *xdr, enum outcome *outcome, enum reason *reason)
{
  enum_t outcome_number = (enum_t)*outcome;
  enum_t reason_number = (enum_t)*reason;

  if (!xdr_enum (xdr, &outcome_number) || !xdr_enum (xdr, &reason_number))
    return FALSE;
  *outcome = (enum outcome)outcome_number;
  *reason = (enum reason)reason_number;
  return outcome_number >= OUTCOME_DONE && outcome_number <= OUTCOME_UNKNOWN;
}

/* XDR filter for a request as the core sees it.  */
static bool_t
wire_request (XDR *xdr, struct request *request)
{
  enum_t run_class = (enum_t)request->run_class;
  enum_t priority = (enum_t)request->priority;

  if (!wire_fixed_string (xdr, request->service, sizeof request->service)
      || !wire_fixed_string (xdr, request->key, sizeof request->key)
      || !xdr_enum (xdr, &run_class) || !xdr_enum (xdr, &priority)
      || !xdr_uint32_t (xdr, &request->route_number)
      || !wire_fixed_string (xdr, request->id, sizeof request->id)
      || !wire_stamp (xdr, &request->stamp)
      || !wire_u64 (xdr, &request->digest)
      || !wire_i64 (xdr, &request->deadline)
      || !xdr_uint32_t (xdr, &request->attempts))
    return FALSE;
  request->run_class = (enum run_class)run_class;
  request->priority = (enum priority)priority;
  return run_class >= RUN_IDEMPOTENT && run_class <= RUN_ONCE
         && priority >= PRIORITY_HIGH && priority < PRIORITY_COUNT;
}

/* XDR filter for whether REQUEST is a call, which is encoded behind all that
   is required: versions that do not know it end the message before it, or
   ignore it.  */
static bool_t
wire_is_call (XDR *xdr, struct request *request)
{
  if (wire_bool (xdr, &request->is_call))
    return TRUE;
  request->is_call = FALSE;
  return xdr->x_op == XDR_DECODE;
}

/* XDR filter for when MESSAGE was sent, which is encoded behind whether it is
   a call: versions that do not know it end the message before it, or ignore
   it.  */
static bool_t
wire_sent_at (XDR *xdr, struct forward_request *message)
{
  if (wire_i64 (xdr, &message->sent_at))
    return TRUE;
  message->sent_at = 0;
  return xdr->x_op == XDR_DECODE;
}

/* XDR filter for the digest of the head of REQUEST, which is encoded last:
   versions that do not know it end the message before it, or ignore it.  */
static bool_t
wire_head_digest (XDR *xdr, struct request *request)
{
  if (wire_u64 (xdr, &request->head_digest))
    return TRUE;
  request->head_digest = 0;
  return xdr->x_op == XDR_DECODE;
}

/* XDR filter for struct forward_request.  */
bool_t
wire_forward_request (XDR *xdr, void *item)
{
  struct forward_request *message = item;

  return wire_u64 (xdr, &message->stream)
         && wire_u64 (xdr, &message->target_incarnation)
         && wire_request (xdr, &message->request)
         && wire_fence (xdr, &message->fence)
         && wire_string (xdr, &message->method, NAME_SIZE)
         && wire_string (xdr, &message->target, HEADERS_BYTES_MAX)
         && wire_string (xdr, &message->headers, HEADERS_BYTES_MAX)
         && wire_i64 (xdr, &message->body_length)
         && wire_bytes (xdr, &message->chunk, &message->chunk_length,
                        BODY_QUEUE_BYTES)
         && wire_bool (xdr, &message->is_last_chunk)
         && wire_is_call (xdr, &message->request)
         && wire_sent_at (xdr, message)
         && wire_head_digest (xdr, &message->request);
}

/* XDR filter for struct forward_response_head.  */
bool_t
wire_forward_response_head (XDR *xdr, void *item)
{
  struct forward_response_head *message = item;

  return wire_outcome (xdr, &message->outcome, &message->reason)
         && wire_stamp (xdr, &message->stamp)
         && xdr_uint32_t (xdr, &message->retry_after_msec)
         && wire_load_report (xdr, &message->load)
         && xdr_uint32_t (xdr, &message->http_status)
         && wire_string (xdr, &message->headers, HEADERS_BYTES_MAX)
         && wire_i64 (xdr, &message->body_length)
         && wire_bytes (xdr, &message->chunk, &message->chunk_length,
                        BODY_QUEUE_BYTES)
         && wire_bool (xdr, &message->is_last_chunk)
         && wire_load_warmup (xdr, &message->load);
}

/* XDR filter for struct forward_request_chunk.  */
bool_t
wire_forward_request_chunk (XDR *xdr, void *item)
{
  struct forward_request_chunk *message = item;

  return wire_u64 (xdr, &message->stream)
         && wire_bytes (xdr, &message->chunk, &message->chunk_length,
                        BODY_QUEUE_BYTES)
         && wire_bool (xdr, &message->is_last_chunk);
}

/* XDR filter for struct forward_response_chunk.  */
bool_t
wire_forward_response_chunk (XDR *xdr, void *item)
{
  struct forward_response_chunk *message = item;

  return wire_outcome (xdr, &message->outcome, &message->reason)
         && wire_bytes (xdr, &message->chunk, &message->chunk_length,
                        BODY_QUEUE_BYTES)
         && wire_bool (xdr, &message->is_last_chunk);
}

/* XDR filter for the id of a forwarded request, a guint64.  */
bool_t
wire_forward_stream (XDR *xdr, void *item)
{
  return wire_u64 (xdr, item);
}
