#include "wire/wire_forward.h"

#include "wire/wire_mesh.h"

/* An outcome with its reason.  */
static bool_t
wire_outcome (XDR *xdr, enum outcome *outcome, enum reason *reason)
{
  enum_t a = (enum_t)*outcome;
  enum_t b = (enum_t)*reason;

  if (!xdr_enum (xdr, &a) || !xdr_enum (xdr, &b))
    return FALSE;
  *outcome = (enum outcome)a;
  *reason = (enum reason)b;
  return a >= OUTCOME_DONE && a <= OUTCOME_UNKNOWN;
}

/* What routing knows of a request.  */
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

/* The beginning of a request.  */
bool_t
wire_forward_request (XDR *xdr, void *item)
{
  struct forward_request *open = item;

  return wire_u64 (xdr, &open->stream)
         && wire_u64 (xdr, &open->target_incarnation)
         && wire_request (xdr, &open->request)
         && wire_fence (xdr, &open->fence)
         && wire_string (xdr, &open->method, NAME_SIZE)
         && wire_string (xdr, &open->target, HEADERS_BYTES_MAX)
         && wire_string (xdr, &open->headers, HEADERS_BYTES_MAX)
         && wire_i64 (xdr, &open->body_length)
         && wire_bytes (xdr, &open->chunk, &open->chunk_length,
                        BODY_QUEUE_BYTES)
         && wire_bool (xdr, &open->is_last_chunk);
}

/* The head of an answer.  */
bool_t
wire_forward_response_head (XDR *xdr, void *item)
{
  struct forward_response_head *head = item;

  return wire_outcome (xdr, &head->outcome, &head->reason)
         && wire_stamp (xdr, &head->stamp)
         && xdr_uint32_t (xdr, &head->retry_after_msec)
         && wire_load_report (xdr, &head->load)
         && xdr_uint32_t (xdr, &head->http_status)
         && wire_string (xdr, &head->headers, HEADERS_BYTES_MAX)
         && wire_i64 (xdr, &head->body_length)
         && wire_bytes (xdr, &head->chunk, &head->chunk_length,
                        BODY_QUEUE_BYTES)
         && wire_bool (xdr, &head->is_last_chunk);
}

/* More of the body of a request.  */
bool_t
wire_forward_request_chunk (XDR *xdr, void *item)
{
  struct forward_request_chunk *data = item;

  return wire_u64 (xdr, &data->stream)
         && wire_bytes (xdr, &data->chunk, &data->chunk_length,
                        BODY_QUEUE_BYTES)
         && wire_bool (xdr, &data->is_last_chunk);
}

/* More of the body of an answer.  */
bool_t
wire_forward_response_chunk (XDR *xdr, void *item)
{
  struct forward_response_chunk *more = item;

  return wire_outcome (xdr, &more->outcome, &more->reason)
         && wire_bytes (xdr, &more->chunk, &more->chunk_length,
                        BODY_QUEUE_BYTES)
         && wire_bool (xdr, &more->is_last_chunk);
}

/* The name of a stream: ITEM is a guint64.  */
bool_t
wire_forward_stream (XDR *xdr, void *item)
{
  return wire_u64 (xdr, item);
}
