#ifndef TESTS_UNREAD_CHECK_H
#define TESTS_UNREAD_CHECK_H

#include "tests/unread_run.h"

/* The checks of the tests with callers that do not read.  The bounds are the
   limits in the settings of the nodes.  */

#define KB_PER_MB 1024u

static char *unread_folder;     /* folder of the programs */
static GString *unread_figures; /* what was measured, for the end */

/* Run the main loop for MSEC.  */
static inline void
unread_drive (gint64 msec)
{
  gint64 end = clock_usec () + msec * USEC_PER_MSEC;

  while (clock_usec () < end)
    g_main_context_iteration (NULL, TRUE);
}

/* Send one ordinary request on a connection of its own and read its response
   until END.  Return its status, 0 if there was none.  */
static inline guint
unread_ask (guint serial, gint64 end)
{
  struct unread_crowd none = { 0 };
  struct unread_caller *caller
      = unread_caller_new (&none, 0, unread.hosts[0].callers_port);
  char answer[4096] = "";
  gsize length = 0;
  guint status = 0;
  ssize_t count = -1;

  g_string_truncate (caller->text, 0);
  unread_add_request (caller->text, G_MAXUINT, serial, 1);
  while (clock_usec () < end && count != 0
         && strstr (answer, "\r\n\r\n") == NULL)
    {
      unread_caller_send (caller);
      g_main_context_iteration (NULL, TRUE);
      count = recv (caller->fd, answer + length, sizeof answer - length - 1,
                    MSG_DONTWAIT);
      length += count > 0 ? (gsize)count : 0;
      answer[length] = '\0';
    }
  if (g_str_has_prefix (answer, "HTTP/1.1 "))
    status = (guint)strtoul (answer + strlen ("HTTP/1.1 "), NULL, 10);
  unread_caller_free (caller);
  return status;
}

/* Return whether an ordinary request is answered by the server.  One that is
   refused is sent again after a pause, as its caller would.  */
static inline gboolean
unread_is_answered (void)
{
  gint64 end = clock_usec () + UNREAD_ANSWER_MSEC * USEC_PER_MSEC;
  guint serial = 0;

  while (clock_usec () < end)
    {
      if (unread_ask (serial++, end) == SOUP_STATUS_OK)
        return TRUE;
      unread_drive (UNREAD_RETRY_MSEC);
    }
  return FALSE;
}

/* Check that node I lives and has stayed below its limits, and note its
   figures.  */
static inline void
unread_check_node (guint i)
{
  struct unread_host *host = &unread.hosts[i];
  guint64 peak_kb = unread_peak_kb (host->node.pid);

  CU_ASSERT_EQUAL (waitpid (host->node.pid, NULL, WNOHANG), 0);
  g_string_append_printf (unread_figures,
                          "%s: node %u: peak %" G_GUINT64_FORMAT
                          " kB of %u, descriptors %u of %u\n",
                          CU_get_current_test ()->pName, i, peak_kb,
                          UNREAD_MEMORY_MB * KB_PER_MB, host->descriptors,
                          UNREAD_FDS_MAX);
#ifndef __SANITIZE_ADDRESS__ /* it multiplies the memory of the process */
  CU_ASSERT_TRUE (peak_kb > 0 && peak_kb <= UNREAD_MEMORY_MB * KB_PER_MB);
#endif
  CU_ASSERT_TRUE (host->descriptors <= UNREAD_FDS_MAX);
}

/* Let CROWD loose on the first of HOSTS nodes, and check all nodes.  An
   ordinary request must be answered while the crowd is there, or after it has
   left if LEAVES.  */
static inline void
unread_check (const struct unread_crowd *crowd, guint hosts, gboolean leaves)
{
  guint i;

  unread_start (hosts, unread_folder);
  CU_ASSERT_TRUE (unread_is_answered ());
  for (i = 0; i < crowd->connections; i++)
    {
      g_ptr_array_add (
          unread.callers,
          unread_caller_new (crowd, i, unread.hosts[0].callers_port));
      if (i % UNREAD_CONNECTIONS_PER_STEP == 0)
        unread_drive (UNREAD_STEP_MSEC);
    }
  unread_drive (UNREAD_CROWD_MSEC);
  if (leaves)
    g_ptr_array_set_size (unread.callers, 0);
  CU_ASSERT_TRUE (unread_is_answered ());
  for (i = 0; i < hosts; i++)
    unread_check_node (i);
  unread_stop ();
}

/* Run TESTS as the suite NAME, with the programs beside PROGRAM.  The figures
   follow after the results, whose lines tests/run.sh reads.  */
static inline int
unread_suite (const char *program, const char *name, CU_TestInfo *tests)
{
  int status;

  unread_folder = g_path_get_dirname (program);
  unread_figures = g_string_new (NULL);
  status = suite_run (name, tests);
  fputs (unread_figures->str, stdout);
  g_string_free (unread_figures, TRUE);
  g_free (unread_folder);
  return status;
}

#endif
