#include "wire/wire_mesh.h"

/* XDR filter for a load report.  */
bool_t
wire_load_report (XDR *xdr, struct load_report *load)
{
  return xdr_uint32_t (xdr, &load->running)
         && xdr_uint32_t (xdr, &load->waiting)
         && xdr_uint32_t (xdr, &load->slots) && wire_i64 (xdr, &load->run_usec)
         && xdr_uint32_t (xdr, &load->demand)
         && xdr_uint32_t (xdr, &load->beat_in_msec)
         && xdr_uint32_t (xdr, &load->failing);
}

/* XDR filter for a report on a third node, without its sequence.  */
static bool_t
wire_peer_report (XDR *xdr, struct news *news)
{
  return wire_u64 (xdr, &news->incarnation)
         && xdr_uint32_t (xdr, &news->age_msec)
         && wire_flag (xdr, &news->leaving)
         && wire_flag (xdr, &news->store_lost);
}

/* XDR filter for the sequences of GOSSIP and of its reports.  They are encoded
   last, because older versions do not know them: such nodes ignore trailing
   bytes, and messages from them end before the sequences, which then are
   0.  */
static bool_t
wire_sequences (XDR *xdr, struct pulse *pulse)
{
  gboolean complete = wire_u64 (xdr, &pulse->stamp);
  guint i;

  for (i = 0; complete && i < pulse->news_count; i++)
    complete = wire_u64 (xdr, &pulse->news[i].stamp);
  if (complete || xdr->x_op != XDR_DECODE)
    return complete;
  pulse->stamp = 0;
  for (i = 0; i < pulse->news_count; i++)
    pulse->news[i].stamp = 0;
  return TRUE;
}

/* XDR filter for a gossip message.  */
static bool_t
wire_gossip (XDR *xdr, struct pulse *pulse)
{
  guint i;

  if (!wire_text (xdr, pulse->name, sizeof pulse->name)
      || !wire_address (xdr, &pulse->from)
      || !wire_u64 (xdr, &pulse->incarnation)
      || !wire_u64 (xdr, &pulse->folded)
      || !wire_i64 (xdr, &pulse->confirmed_age)
      || !wire_u64 (xdr, &pulse->config) || !wire_flag (xdr, &pulse->leaving)
      || !wire_flag (xdr, &pulse->store_lost)
      || !wire_load_report (xdr, &pulse->load)
      || !xdr_uint32_t (xdr, &pulse->news_count)
      || pulse->news_count > PULSE_NEWS_MAX)
    return FALSE;
  for (i = 0; i < pulse->news_count; i++)
    if (!wire_peer_report (xdr, &pulse->news[i]))
      return FALSE;
  return wire_sequences (xdr, pulse);
}

/* XDR filter for a fetch.  */
static bool_t
wire_fetch (XDR *xdr, struct mesh_fetch *fetch)
{
  return wire_u64 (xdr, &fetch->folded) && wire_u64 (xdr, &fetch->config);
}

/* XDR filter for a record to append.  */
static bool_t
wire_append (XDR *xdr, struct mesh_append *append)
{
  return wire_u64 (xdr, &append->at)
         && wire_text (xdr, append->key, sizeof append->key)
         && wire_blob (xdr, &append->bytes, &append->length,
                       FLEET_RECORD_BYTES_MAX);
}

/* XDR filter for records and a configuration.  */
static bool_t
wire_fetch_reply (XDR *xdr, struct mesh_fetch_reply *reply)
{
  return wire_u64 (xdr, &reply->next)
         && wire_blob (xdr, &reply->bytes, &reply->length, MESH_BLOB_BYTES_MAX)
         && wire_u64 (xdr, &reply->config)
         && wire_blob (xdr, &reply->config_bytes, &reply->config_count,
                       MESH_BLOB_BYTES_MAX);
}

/* XDR filter for struct mesh_call.  */
bool_t
wire_mesh_call (XDR *xdr, void *item)
{
  struct mesh_call *call = item;
  enum_t kind = (enum_t)call->kind;

  if (!xdr_enum (xdr, &kind))
    return FALSE;
  call->kind = (enum mesh_msg_kind)kind;
  switch (call->kind)
    {
    case MESH_PULSE:
      return wire_gossip (xdr, &call->u.pulse);
    case MESH_FETCH:
      return wire_fetch (xdr, &call->u.fetch);
    case MESH_APPEND:
      return wire_append (xdr, &call->u.append);
    }
  return FALSE;
}

/* XDR filter for struct mesh_reply.  */
bool_t
wire_mesh_reply (XDR *xdr, void *item)
{
  struct mesh_reply *reply = item;
  enum_t kind = (enum_t)reply->kind;
  enum_t code = (enum_t)reply->code;

  if (!xdr_enum (xdr, &kind) || !xdr_enum (xdr, &code))
    return FALSE;
  reply->kind = (enum mesh_msg_kind)kind;
  reply->code = (enum err)code;
  switch (reply->kind)
    {
    case MESH_PULSE:
      return wire_gossip (xdr, &reply->u.pulse);
    case MESH_FETCH:
      return wire_fetch_reply (xdr, &reply->u.fetch);
    case MESH_APPEND:
      return wire_u64 (xdr, &reply->u.append.offset);
    }
  return FALSE;
}
