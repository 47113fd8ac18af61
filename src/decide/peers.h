#ifndef BAMBOOTALLY_PEERS_H
#define BAMBOOTALLY_PEERS_H

#include "types/action.h"
#include "types/view.h"

struct core;

/* Calls to other nodes, and how far those have folded.  */

struct peers
{
  GHashTable *applied_offsets; /* incarnation to guint64 offset */
};

void peers_init (struct peers *peers);
void peers_clear (struct peers *peers);
void peers_note_applied (struct peers *peers, guint64 incarnation,
                         guint64 offset);
gboolean peers_has_applied (const struct peers *peers, guint64 incarnation,
                            guint64 offset);
void peers_forget_removed (struct peers *peers, const struct view *view);
struct action_peer_call *peers_call (struct core *core,
                                     const struct view_node *node,
                                     enum peer_kind kind, gint64 now,
                                     struct actions *out);

#endif
