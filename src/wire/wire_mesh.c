#include "wire/wire_mesh.h"

#include <string.h>

/* XDR filter for a load report.  */
bool_t
wire_load_report (XDR *xdr, struct load_report *load)
{
  return xdr_uint32_t (xdr, &load->running)
         && xdr_uint32_t (xdr, &load->waiting)
         && xdr_uint32_t (xdr, &load->slots)
         && wire_i64 (xdr, &load->mean_run_usec)
         && xdr_uint32_t (xdr, &load->demand_permille)
         && xdr_uint32_t (xdr, &load->next_heartbeat_msec)
         && xdr_uint32_t (xdr, &load->failed_permille);
}

/* XDR filter for a report on a third node, without its sequence.  */
static bool_t
wire_peer_report (XDR *xdr, struct peer_report *report)
{
  return wire_u64 (xdr, &report->incarnation)
         && xdr_uint32_t (xdr, &report->age_msec)
         && wire_bool (xdr, &report->leaving)
         && wire_bool (xdr, &report->store_lost);
}

/* XDR filter for what a node knows of the one that reads a topic.  */
static bool_t
wire_reading_claim (XDR *xdr, struct reading_claim *claim)
{
  return wire_u64 (xdr, &claim->reader) && xdr_uint32_t (xdr, &claim->round)
         && xdr_uint32_t (xdr, &claim->age_msec)
         && wire_bool (xdr, &claim->given_up);
}

/* Set what GOSSIP of an older version does not tell: how recent the
   configuration is, and who reads the topics.  */
static void
clear_reading (struct gossip *gossip)
{
  gossip->config_confirmed_age_usec = -1;
  gossip->config_source = 0;
  memset (gossip->claims, 0, sizeof gossip->claims);
}

/* XDR filter for the warm-up in LOAD, which is encoded last in a message:
   versions that do not know it end the message before it, or ignore it.  */
bool_t
wire_load_warmup (XDR *xdr, struct load_report *load)
{
  if (xdr_uint32_t (xdr, &load->warmup_msec))
    return TRUE;
  load->warmup_msec = 0;
  return xdr->x_op == XDR_DECODE;
}

/* XDR filter for the names of evacuated data centres.  */
static bool_t
wire_zone_names (XDR *xdr, struct evacuated_zones *zones)
{
  guint i;

  if (!xdr_uint32_t (xdr, &zones->count) || zones->count > EVACUATED_ZONES_MAX)
    return FALSE;
  for (i = 0; i < zones->count; i++)
    if (!wire_interned_name (xdr, &zones->names[i]))
      return FALSE;
  return TRUE;
}

/* XDR filter for the evacuated data centres.  Versions that do not know them
   end the message before them, or ignore them.  A set that is not whole tells
   nothing.  */
static bool_t
wire_evacuated (XDR *xdr, struct evacuated_zones *zones)
{
  if (wire_u64 (xdr, &zones->offset) && wire_zone_names (xdr, zones))
    return TRUE;
  memset (zones, 0, sizeof *zones);
  return xdr->x_op == XDR_DECODE;
}

/* Set what GOSSIP of an older version does not tell: the warm-up of the server
   and the evacuated data centres.  */
static void
clear_end (struct gossip *gossip)
{
  gossip->load.warmup_msec = 0;
  memset (&gossip->evacuated, 0, sizeof gossip->evacuated);
}

/* XDR filter for how recent the configuration is, and who reads the topics.
   Versions that do not know it end the message before it, or ignore it.  */
static bool_t
wire_reading (XDR *xdr, struct gossip *gossip)
{
  gboolean complete = wire_i64 (xdr, &gossip->config_confirmed_age_usec)
                      && wire_u64 (xdr, &gossip->config_source);
  guint i;

  for (i = 0; complete && i < READING_SLOTS; i++)
    complete = wire_reading_claim (xdr, &gossip->claims[i]);
  if (complete)
    return wire_load_warmup (xdr, &gossip->load)
           && wire_evacuated (xdr, &gossip->evacuated);
  if (xdr->x_op != XDR_DECODE)
    return FALSE;
  clear_reading (gossip);
  clear_end (gossip);
  return TRUE;
}

/* XDR filter for the sequences of GOSSIP and of its reports, and for what was
   added after them.  They are encoded last, because older versions do not know
   them: such nodes ignore trailing bytes, and messages from them end before
   the sequences, which then are 0.  */
static bool_t
wire_sequences (XDR *xdr, struct gossip *gossip)
{
  gboolean complete = wire_u64 (xdr, &gossip->sequence);
  guint i;

  for (i = 0; complete && i < gossip->report_count; i++)
    complete = wire_u64 (xdr, &gossip->reports[i].sequence);
  if (complete)
    return wire_reading (xdr, gossip);
  if (xdr->x_op != XDR_DECODE)
    return FALSE;
  clear_reading (gossip);
  clear_end (gossip);
  gossip->sequence = 0;
  for (i = 0; i < gossip->report_count; i++)
    gossip->reports[i].sequence = 0;
  return TRUE;
}

/* XDR filter for a gossip message.  */
static bool_t
wire_gossip (XDR *xdr, struct gossip *gossip)
{
  guint i;

  if (!wire_fixed_string (xdr, gossip->name, sizeof gossip->name)
      || !wire_address (xdr, &gossip->address)
      || !wire_u64 (xdr, &gossip->incarnation)
      || !wire_u64 (xdr, &gossip->applied_offset)
      || !wire_i64 (xdr, &gossip->confirmed_age_usec)
      || !wire_u64 (xdr, &gossip->config_version)
      || !wire_bool (xdr, &gossip->leaving)
      || !wire_bool (xdr, &gossip->store_lost)
      || !wire_load_report (xdr, &gossip->load)
      || !xdr_uint32_t (xdr, &gossip->report_count)
      || gossip->report_count > PEER_REPORTS_MAX)
    return FALSE;
  for (i = 0; i < gossip->report_count; i++)
    if (!wire_peer_report (xdr, &gossip->reports[i]))
      return FALSE;
  return wire_sequences (xdr, gossip);
}

/* XDR filter for a fetch.  Calls of versions that do not know patches, or
   compressed configurations, end before these fields.  */
static bool_t
wire_fetch (XDR *xdr, struct mesh_fetch *fetch)
{
  if (!wire_u64 (xdr, &fetch->applied_offset)
      || !wire_u64 (xdr, &fetch->config_version))
    return FALSE;
  if (!xdr_bool (xdr, &fetch->accepts_patches))
    fetch->accepts_patches = FALSE;
  if (!xdr_bool (xdr, &fetch->accepts_deflate))
    fetch->accepts_deflate = FALSE;
  return TRUE;
}

/* XDR filter for a record to append.  */
static bool_t
wire_append (XDR *xdr, struct mesh_append *append)
{
  return wire_u64 (xdr, &append->expected_end)
         && wire_fixed_string (xdr, append->key, sizeof append->key)
         && wire_bytes (xdr, &append->bytes, &append->length,
                        FLEET_RECORD_BYTES_MAX);
}

/* XDR filter for records and a configuration.  Replies of versions that do not
   know the last fields end before them.  */
static bool_t
wire_fetch_reply (XDR *xdr, struct mesh_fetch_reply *reply)
{
  if (!(wire_u64 (xdr, &reply->next_offset)
        && wire_bytes (xdr, &reply->records, &reply->records_length,
                       MESH_BLOB_BYTES_MAX)
        && wire_u64 (xdr, &reply->config_version)
        && wire_bytes (xdr, &reply->config_bytes, &reply->config_length,
                       MESH_BLOB_BYTES_MAX)))
    return FALSE;
  if (!wire_u64 (xdr, &reply->config_next_offset))
    {
      reply->config_next_offset = 0;
      reply->config_plain_length = 0;
      return xdr->x_op == XDR_DECODE;
    }
  if (xdr_uint32_t (xdr, &reply->config_plain_length))
    return TRUE;
  reply->config_plain_length = 0;
  return xdr->x_op == XDR_DECODE;
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
    case MESH_GOSSIP:
      return wire_gossip (xdr, &call->u.gossip);
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
    case MESH_GOSSIP:
      return wire_gossip (xdr, &reply->u.gossip);
    case MESH_FETCH:
      return wire_fetch_reply (xdr, &reply->u.fetch);
    case MESH_APPEND:
      return wire_u64 (xdr, &reply->u.append.offset);
    }
  return FALSE;
}
