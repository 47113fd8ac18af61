#include "edge/journal.h"
#include "edge/log_output.h"
#include "tests/mesh_node_stop.h"
#include "tests/raw_caller.h"

#include <fcntl.h>
#include <unistd.h>

/* Names as long as a DNS name may be, on their whole way: from the store's
   configuration to another node, to the log, and to explanations.  */

#define LONG_SIZE 254u /* bytes in such a name, with the final zero */

/* A name of each kind.  */
struct names
{
  char host[LONG_SIZE];
  char route[LONG_SIZE];
  char service[LONG_SIZE];
  char member[LONG_SIZE];
};

/* Write a long name that begins with FIRST to BUFFER.  */
static void
make_name (char *buffer, char first)
{
  memset (buffer, 'n', LONG_SIZE - 1);
  buffer[0] = first;
  buffer[LONG_SIZE - 2] = first;
  buffer[LONG_SIZE - 1] = '\0';
}

/* Have the node read a configuration with one route, and the record of the
   other node under its long name.  */
static void
teach_names (struct stage *stage, struct names *names)
{
  struct event records = { .kind = EVENT_FLEET_RECORDS };
  struct fleet_entry entry = { .record.kind = FLEET_MEMBER, .offset = 1 };
  struct fleet_member *member = &entry.record.u.member;
  char *text;

  make_name (names->host, 'h');
  make_name (names->route, 'r');
  make_name (names->service, 's');
  make_name (names->member, 'm');
  text = g_strdup_printf (
      "{\"version\":\"r9\",\"services\":{\"columns\":[\"name\"],\"rows\":"
      "[[\"%s\"]]},\"routes\":{\"columns\":[\"name\",\"host\",\"path-prefix\","
      "\"route-type\",\"service\"],\"rows\":[[\"%s\",\"%s\",\"/\","
      "\"idempotent\",\"%s\"],[\"bad\",\"%s\",\"/bad/\",\"idempotent\",7]]}}",
      names->service, names->route, names->host, names->service, names->host);
  CU_ASSERT_TRUE (mesh_node_apply_config (&stage->node, (const guint8 *)text,
                                          strlen (text), 0));
  g_free (text);
  g_strlcpy (member->name, names->member, sizeof member->name);
  g_strlcpy (member->service, names->service, sizeof member->service);
  g_strlcpy (member->zone, names->host, sizeof member->zone);
  g_strlcpy (member->instance.id, names->route, sizeof member->instance.id);
  member->incarnation = OTHER_INCARNATION + 1;
  member->slots = 4;
  member->peer_address = listening_address (stage->other.listener);
  fleet_record_set_key (&entry.record);
  records.u.fleet_records.items = &entry;
  records.u.fleet_records.count = 1;
  records.u.fleet_records.next_offset = 2;
  records.u.fleet_records.at_end = TRUE;
  records.u.fleet_records.started_at = clock_usec ();
  mesh_node_handle_event (&stage->node, &records);
}

/* Send a request for TARGET at the host of NAMES under ID.  Return the status
   of the answer.  */
static int
status_of (struct stage *stage, const struct names *names, const char *target,
           const char *id)
{
  GSocket *caller = connect_to (http_server_port (&stage->node.proxy.callers));
  char *text = g_strdup_printf ("GET %s HTTP/1.1\r\nHost: %s\r\n" NAME_ID
                                ": %s\r\n" NAME_DEADLINE ": 2000\r\n\r\n",
                                target, names->host, id);
  int status;

  send_text (caller, text);
  status = wait_for_status (caller);
  g_free (text);
  g_object_unref (caller);
  return status;
}

/* Return all that can be read from the descriptor FD.  */
static char *
read_all (int fd)
{
  GString *text = g_string_new ("");
  char buffer[4096];
  ssize_t count;

  fcntl (fd, F_SETFL, O_NONBLOCK);
  while ((count = read (fd, buffer, sizeof buffer)) > 0)
    g_string_append_len (text, buffer, count);
  return g_string_free (text, FALSE);
}

/* Check that TEXT has NAME, whole and behind BEFORE.  */
static void
check_name (const char *text, const char *before, const char *name)
{
  char *wanted = g_strdup_printf ("%s%s", before, name);

  CU_ASSERT_TRUE (text != NULL && strstr (text, wanted) != NULL);
  g_free (wanted);
}

/* Guards against a name that is cut on its way.  */
static void
test_whole_way (void)
{
  struct log_output output;
  struct stage stage;
  struct names names;
  char *text;
  char *query;
  int ends[2];

  CU_ASSERT_EQUAL_FATAL (pipe (ends), 0);
  log_output_init (&output, ends[1]);
  CU_ASSERT_EQUAL (journal_open ("info"), 0);
  journal_set_output (&output);
  stage_init (&stage);
  teach_names (&stage, &names);
  CU_ASSERT_EQUAL (status_of (&stage, &names, "/x", names.member), 200);
  CU_ASSERT_EQUAL (stage.runs, 1);
  CU_ASSERT_STRING_EQUAL (stage.last_service, names.service);
  CU_ASSERT_STRING_EQUAL (stage.last_id, names.member);
  query = g_strdup_printf ("host=%s&target=%%2Fx", names.host);
  text = mesh_node_explain (query, &stage.node);
  CU_ASSERT_PTR_NOT_NULL_FATAL (text);
  check_name (text, "\"", names.service);
  check_name (text, "\"", names.route);
  check_name (text, "\"", names.member);
  g_free (text);
  g_free (query);
  stage_clear (&stage);
  journal_close ();
  log_output_clear (&output);
  text = read_all (ends[0]);
  check_name (text, "subject=", names.member);
  check_name (text, "service=", names.service);
  check_name (text, "route=", names.route);
  check_name (text, "to=", names.member);
  g_free (text);
  close (ends[0]);
  close (ends[1]);
}

/* Guards against a request that is refused, or cut, for its long id.  An id
   that is too long costs its own request only.  */
static void
test_request_ids (void)
{
  static const gsize lengths[] = { 62, 63, 64, 254, 255, 256, 1000, 64 };
  struct stage stage;
  struct names names;
  guint i;

  stage_init (&stage);
  teach_names (&stage, &names);
  for (i = 0; i < G_N_ELEMENTS (lengths); i++)
    {
      gboolean fits = lengths[i] < REQUEST_ID_SIZE;
      char *id = g_strnfill (lengths[i], 'i');
      CU_ASSERT_EQUAL (status_of (&stage, &names, "/x", id), fits ? 200 : 400);
      if (fits)
        CU_ASSERT_STRING_EQUAL (stage.last_id, id);
      g_free (id);
    }
  CU_ASSERT_EQUAL (stage.runs, 6);
  stage_clear (&stage);
}

/* Guards against requests of a route that cannot be used: they are refused at
   once, are not served by a route with a shorter prefix, and the node says
   so.  */
static void
test_unusable_route (void)
{
  struct stage stage;
  struct names names;
  char *query;
  char *text;

  stage_init (&stage);
  teach_names (&stage, &names);
  CU_ASSERT_EQUAL (status_of (&stage, &names, "/bad/x", "1"), 503);
  CU_ASSERT_EQUAL (stage.runs, 0);
  query = g_strdup_printf ("host=%s&target=%%2Fbad%%2Fx", names.host);
  text = mesh_node_explain (query, &stage.node);
  check_name (text, "\"", "bad-route\"");
  g_free (text);
  g_free (query);
  text = mesh_node_metrics (&stage.node);
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "\nconfig_faults 1\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (text, "events{name=\"mesh-bad-input\"} 1"));
  g_free (text);
  stage_clear (&stage);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "long names are cut", test_whole_way },
                          { "request id is refused", test_request_ids },
                          { "unusable route", test_unusable_route },
                          CU_TEST_INFO_NULL };

  return suite_run ("long_names", tests);
}
