#include "types/action.h"

#include <string.h>

/* Release what ACTION owns.  */
static void
action_release (struct action *action)
{
  switch (action->kind)
    {
    case ACTION_APPEND:
      record_clear (&action->u.append.record);
      break;
    case ACTION_PEER_REPLY:
      if (action->u.peer_reply.body.kind == PEER_FETCH)
        g_free (action->u.peer_reply.body.u.fetch.bytes);
      break;
    case ACTION_SNAPSHOT_DECODE:
      g_free (action->u.snapshot_decode.bytes);
      break;
    case ACTION_STORE_APPEND:
      fleet_record_clear (&action->u.store_append.record);
      break;
    case ACTION_HEARTBEAT_ANSWER:
      g_free (action->u.heartbeat_answer.answer);
      break;
    case ACTION_REMOTE_APPEND:
      fleet_record_clear (&action->u.remote_append.record);
      break;
    case ACTION_APPEND_FOR_PEER:
      g_free (action->u.append_for_peer.append.bytes);
      break;
    case ACTION_KEY_ORDER:
    case ACTION_READ_TOPIC:
    case ACTION_MESH_CALL:
    case ACTION_MESH_REPLY:
    case ACTION_MESH_FETCH_REPLY:
    case ACTION_SNAPSHOT_ENCODE:
    case ACTION_SNAPSHOT_REPLY:
    case ACTION_PEER_CALL:
    case ACTION_FORWARD:
    case ACTION_RUN:
    case ACTION_ANSWER:
    case ACTION_CANCEL:
    case ACTION_LOG_EVENT:
    case ACTION_READ_LOG:
    case ACTION_DROP_CONNECTIONS:
    case ACTION_EXIT:
      break;
    }
}

/* Set up ACTIONS as an empty list.  */
void
actions_init (struct actions *actions)
{
  actions->items = g_array_new (FALSE, TRUE, sizeof (struct action));
}

/* Release ACTIONS and all that its actions own.  */
void
actions_clear (struct actions *actions)
{
  actions_remove_all (actions);
  g_array_free (actions->items, TRUE);
  actions->items = NULL;
}

/* Remove all actions from the list and release what they own.  */
void
actions_remove_all (struct actions *actions)
{
  guint i;

  for (i = 0; i < actions->items->len; i++)
    action_release (&g_array_index (actions->items, struct action, i));
  g_array_set_size (actions->items, 0);
}

/* Append a zeroed action of KIND.  The returned pointer is valid until the
   next call.  */
struct action *
actions_add (struct actions *actions, enum action_kind kind)
{
  struct action *action;

  g_array_set_size (actions->items, actions->items->len + 1);
  action = &g_array_index (actions->items, struct action,
                           actions->items->len - 1);
  memset (action, 0, sizeof *action);
  action->kind = kind;
  return action;
}

/* Return the action at index I, which must be below the length of the
   list.  */
const struct action *
actions_at (const struct actions *actions, guint i)
{
  return &g_array_index (actions->items, struct action, i);
}
