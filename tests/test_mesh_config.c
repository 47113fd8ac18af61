#include "edge/mesh_config.h"
#include "tests/suite.h"

#include <glib/gstdio.h>
#include <unistd.h>

#define SETTINGS                                                              \
  "[node]\nhost = h\nzone = z\nservice = s\n"                                 \
  "[listen]\ncallers = 127.0.0.1:1\ncontrol = 127.0.0.1:2\n"                  \
  "ready = 127.0.0.1:3\nmetrics = 127.0.0.1:4\npeers = 127.0.0.1:5\n"         \
  "[server]\naddress = 127.0.0.1:6\nbeat-ms = 900\n%s"                        \
  "[store]\naddress = 127.0.0.1:7\n"

/* Read settings with the line GRANTS in the section server into CONFIG.
   Return the error and set ERROR_COUNT.  */
static enum err
read_settings (struct mesh_config *config, const char *grants,
               guint *error_count)
{
  GArray *errors = g_array_new (FALSE, TRUE, sizeof (struct config_error));
  char *text = g_strdup_printf (SETTINGS, grants);
  char *file = NULL;
  int fd = g_file_open_tmp ("mesh-config-XXXXXX", &file, NULL);
  enum err code;

  CU_ASSERT_TRUE (fd >= 0);
  CU_ASSERT_TRUE (g_file_set_contents (file, text, -1, NULL));
  code = mesh_config_read (config, file, errors);
  *error_count = errors->len;
  close (fd);
  g_unlink (file);
  g_free (file);
  g_free (text);
  g_array_free (errors, TRUE);
  return code;
}

/* Keys are granted by the answers to heartbeats unless the settings say
   otherwise.  */
static void
test_known (void)
{
  struct mesh_config config;
  guint errors;

  CU_ASSERT_EQUAL (read_settings (&config, "", &errors), ERR_NONE);
  CU_ASSERT_EQUAL (config.mesh.grant_method, GRANT_BY_ANSWER);
  CU_ASSERT_EQUAL (read_settings (&config, "grants = heartbeat\n", &errors),
                   ERR_NONE);
  CU_ASSERT_EQUAL (config.mesh.grant_method, GRANT_BY_ANSWER);
  CU_ASSERT_EQUAL (read_settings (&config, "grants = call\n", &errors),
                   ERR_NONE);
  CU_ASSERT_EQUAL (config.mesh.grant_method, GRANT_BY_CALL);
}

/* The limits of the host come from the section limits; without it they are
   those of the smallest host.  */
static void
test_limits (void)
{
  struct mesh_config config;
  guint errors;

  CU_ASSERT_EQUAL (read_settings (&config, "", &errors), ERR_NONE);
  CU_ASSERT_EQUAL (config.memory_bytes, (guint64)160 * 1048576);
  CU_ASSERT_EQUAL (config.descriptors_max, 4100);
  CU_ASSERT_EQUAL (read_settings (&config,
                                  "[limits]\nmemory-mb = 512\nmax-fds = 8192\n"
                                  "link-mbps = 10.0\n",
                                  &errors),
                   ERR_NONE);
  CU_ASSERT_EQUAL (config.memory_bytes, (guint64)512 * 1048576);
  CU_ASSERT_EQUAL (config.descriptors_max, 8192);
  CU_ASSERT_EQUAL (config.link_mbit_per_s, 10);
  CU_ASSERT_EQUAL (
      read_settings (&config, "[limits]\nmemory-mb = much\n", &errors),
      ERR_INVALID);
}

/* An unknown way of granting keys is an error.  */
static void
test_unknown (void)
{
  struct mesh_config config;
  guint errors;

  CU_ASSERT_EQUAL (read_settings (&config, "grants = letter\n", &errors),
                   ERR_INVALID);
  CU_ASSERT_EQUAL (errors, 1);
}

/* Guards against a rule of evacuations that applies where the settings do not
   name the time in which they are in force: the line is left out then, or
   empty.  */
static void
test_evacuation (void)
{
  struct mesh_config config;
  guint errors;

  CU_ASSERT_EQUAL (read_settings (&config, "", &errors), ERR_NONE);
  CU_ASSERT_EQUAL (config.mesh.evacuate_usec, 0);
  CU_ASSERT_EQUAL (
      read_settings (&config, "[bounds]\n\ndrain-ms = 2000\n", &errors),
      ERR_NONE);
  CU_ASSERT_EQUAL (config.mesh.evacuate_usec, 0);
  CU_ASSERT_EQUAL (
      read_settings (&config, "[bounds]\nevacuate-ms = 3500\n", &errors),
      ERR_NONE);
  CU_ASSERT_EQUAL (config.mesh.evacuate_usec, 3500000);
}

int
main (void)
{
  CU_TestInfo tests[] = { { "known ways of granting keys", test_known },
                          { "an unknown one", test_unknown },
                          { "limits of the host", test_limits },
                          { "evacuation", test_evacuation },
                          CU_TEST_INFO_NULL };

  return suite_run ("mesh_config", tests);
}
