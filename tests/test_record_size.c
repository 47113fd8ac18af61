#include "mesh/mesh_parts.h"
#include "tests/mesh_node_stage.h"
#include "wire/wire_fleet.h"

/* Records that are too large for the store.  */

#define OVERSIZE_SHARDS 4096u
#define SERIAL 7u

/* Set RECORD to a map that is too large for the store.  */
static void
make_oversize (struct fleet_record *record)
{
  guint i;

  memset (record, 0, sizeof *record);
  record->kind = FLEET_MAP;
  shard_map_init (&record->u.map, "own");
  fleet_record_set_key (record);
  g_array_set_size (record->u.map.shards, OVERSIZE_SHARDS);
  for (i = 0; i < OVERSIZE_SHARDS; i++)
    {
      struct shard *shard = shard_map_at (&record->u.map, i);
      shard->owner = "host-with-a-name-of-some-length";
      shard->next_owner = shard->owner;
    }
  CU_ASSERT_PTR_NULL (wire_fleet_encode (record));
}

/* Perform ACTION, an append of the record that the node proposes, and check
   that nothing is sent and the proposal ends.  */
static void
check_refused (struct stage *stage, const struct action *action)
{
  stage->node.mesh.proposal.is_pending = TRUE;
  stage->node.mesh.proposal.serial = SERIAL;
  mesh_node_perform (&stage->node, action);
  CU_ASSERT_EQUAL (stage->node.proxy.counters.appends_sent, 0);
  CU_ASSERT_FALSE (stage->node.mesh.proposal.is_pending);
}

/* Guards against owners that are forgotten: a map that is too large was stored
   as a deletion.  */
static void
test_append (void)
{
  struct action action = { .kind = ACTION_STORE_APPEND };
  struct stage stage;

  stage_init (&stage);
  action.u.store_append.serial = SERIAL;
  make_oversize (&action.u.store_append.record);
  check_refused (&stage, &action);
  CU_ASSERT_EQUAL (stage.node.oversize_records, 1);
  fleet_record_clear (&action.u.store_append.record);
  stage_clear (&stage);
}

/* Guards against a node that ends when it has another one append such a
   map.  */
static void
test_relay (void)
{
  struct action action = { .kind = ACTION_REMOTE_APPEND };
  struct stage stage;

  stage_init (&stage);
  action.u.remote_append.serial = SERIAL;
  action.u.remote_append.address = listening_address (stage.other.listener);
  action.u.remote_append.deadline = clock_usec () + CASE_USEC;
  make_oversize (&action.u.remote_append.record);
  check_refused (&stage, &action);
  fleet_record_clear (&action.u.remote_append.record);
  stage_clear (&stage);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "oversize map is stored as deleted", test_append },
                          { "oversize map ends the node", test_relay },
                          CU_TEST_INFO_NULL };

  return suite_run ("record_size", tests);
}
