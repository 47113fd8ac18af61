#ifndef TESTS_READING_SIM_STORE_H
#define TESTS_READING_SIM_STORE_H

#include "tests/reading_sim_types.h"

/* The store of a simulation, and what nodes read of it.  */

/* Return the name of node I.  */
static inline const char *
reading_name (guint i)
{
  static char name[NAME_SIZE];

  g_snprintf (name, sizeof name, "node-%02u", i);
  return name;
}

/* Return the process of node I as others know it.  */
static inline guint64
reading_incarnation (const struct reading_sim *sim, guint i)
{
  return ((guint64)(i + 1) << 32) + sim->nodes[i].process;
}

/* Return the newest version of the configuration.  */
static inline guint64
reading_newest (const struct reading_sim *sim)
{
  return sim->acked->len;
}

/* Return the end of the operator's topic with VERSION configurations and COUNT
   evacuations or ends of one.  */
static inline guint64
reading_operator_end (guint64 version, guint count)
{
  return version + count;
}

static inline void reading_feed (struct reading_sim *sim, guint i,
                                 const struct event *event);

/* Send MESSAGE, to arrive after DELAY.  */
static inline void
reading_send (struct reading_sim *sim, struct reading_message *message,
              gint64 delay)
{
  message->due_at = sim->now + delay;
  g_array_append_vals (sim->messages, message, 1);
}

/* Return how long a version of BYTES takes until it is read by node TO: the
   links of FROM, NULL for the store, and of TO carry one after the other.  */
static inline gint64
reading_transfer_usec (const struct reading_sim *sim,
                       struct reading_node *from, struct reading_node *to,
                       guint bytes)
{
  gint64 link_usec = (gint64)bytes * USEC_PER_SEC / LINK_BYTES_PER_SEC;
  gint64 sent_at = sim->now;

  if (sim->stored_bytes == 0)
    return 0;
  if (from != NULL)
    {
      from->sends_until = MAX (sim->now, from->sends_until) + link_usec;
      sent_at = from->sends_until;
    }
  to->receives_until = MAX (sent_at, to->receives_until + link_usec);
  to->parses_until
      = MAX (to->receives_until, to->parses_until)
        + (gint64)sim->stored_bytes * USEC_PER_SEC / PARSED_BYTES_PER_SEC;
  return to->parses_until - sim->now;
}

/* Add a record to the fleet's topic: that of *MEMBER as it runs now, or one
   that changes nothing.  */
static inline void
reading_add_record (struct reading_sim *sim, const guint *member)
{
  struct reading_record record = { .is_member = member != NULL };

  if (member != NULL)
    {
      record.member = *member;
      record.incarnation = reading_incarnation (sim, *member);
    }
  g_array_append_val (sim->fleet, record);
}

/* Give node I the records of the fleet below END.  */
static inline void
reading_give_fleet (struct reading_sim *sim, guint i, guint64 end,
                    gboolean at_end, gint64 started_at)
{
  struct event event = { .kind = EVENT_FLEET_RECORDS };
  GArray *entries = g_array_new (FALSE, TRUE, sizeof (struct fleet_entry));
  guint64 offset = sim->nodes[i].mesh.fleet.applied_offset;

  for (; offset < end; offset++)
    {
      struct fleet_entry entry = { .offset = offset };
      struct fleet_member *member = &entry.record.u.member;
      const struct reading_record *record
          = &g_array_index (sim->fleet, struct reading_record, offset);
      guint k = record->member;
      if (record->is_member)
        {
          entry.record.kind = FLEET_MEMBER;
          g_strlcpy (member->name, reading_name (k), sizeof member->name);
          g_snprintf (member->zone, sizeof member->zone, "z%u",
                      k * READING_ZONES / READING_NODES);
          g_strlcpy (member->service, "s", sizeof member->service);
          g_snprintf (member->instance.id, NAME_SIZE, "i%u", k);
          member->incarnation = record->incarnation;
          member->peer_address.port = (guint16)k;
          member->slots = 4;
        }
      else
        {
          entry.record.kind = FLEET_SUSPECT;
          entry.record.u.suspect.digest = offset;
        }
      fleet_record_set_key (&entry.record);
      g_array_append_val (entries, entry);
    }
  event.u.fleet_records.items = (const void *)entries->data;
  event.u.fleet_records.count = entries->len;
  event.u.fleet_records.next_offset = end;
  event.u.fleet_records.complete = TRUE;
  event.u.fleet_records.at_end = at_end;
  event.u.fleet_records.started_at = started_at;
  reading_feed (sim, i, &event);
  g_array_free (entries, TRUE);
}

/* Give node I the configuration VERSION.  */
static inline void
reading_give_config (struct reading_sim *sim, guint i, guint64 version,
                     gboolean from_store)
{
  struct event event = { .kind = EVENT_ROUTING };

  if (version <= mesh_routing_version (&sim->nodes[i].mesh))
    return;
  event.u.routing.routing = routing_new (version);
  event.u.routing.from_store = from_store;
  reading_feed (sim, i, &event);
}

/* Give node I the evacuations in the operator's topic with VERSION
   configurations and COUNT evacuations or ends of one.  */
static inline void
reading_give_evacuations (struct reading_sim *sim, guint i, guint64 version,
                          guint count)
{
  struct event event = { .kind = EVENT_EVACUATIONS };
  struct evacuation item = { .zone = EVACUATED_ZONE };

  event.u.evacuations.items = &item;
  event.u.evacuations.count = count % 2;
  event.u.evacuations.is_listing = TRUE;
  event.u.evacuations.next_offset = reading_operator_end (version, count);
  reading_feed (sim, i, &event);
}

/* Start a read of TOPIC by node I.  */
static inline void
reading_read (struct reading_sim *sim, guint i, enum mesh_topic topic)
{
  struct reading_node *node = &sim->nodes[i];
  gint64 delay = sim->store_delay_usec + node->send_delay_usec;
  struct reading_message message = { .kind = READING_RESULT,
                                     .from = i,
                                     .process = node->process,
                                     .topic = topic,
                                     .started_at = sim->now,
                                     .end = sim->fleet->len,
                                     .version = reading_newest (sim),
                                     .evacuations = sim->evacuated->len };

  sim->reads++;
  if (node->service != READING_SERVED)
    message.code = ERR_UNAVAILABLE;
  else if (topic == MESH_TOPIC_CONFIG
           && message.version > mesh_routing_version (&node->mesh))
    delay += reading_transfer_usec (sim, NULL, node, sim->stored_bytes);
  reading_send (sim, &message,
                node->service == READING_SILENT ? CALL_FAILS_USEC : delay);
}

#endif
