#include "edge/settings.h"
#include "tests/suite.h"

#include <glib/gstdio.h>
#include <string.h>

#define GOOD                                                                  \
  "[node]\nhost = h1\nzone = a\nregion = r\nservice = menu\n"                 \
  "front = 127.0.0.1:7001\npeer = 127.0.0.1:7002\n"                           \
  "[log]\naddress = 127.0.0.1:7000\nstream = s\n"

/* Read TEXT from a file as settings and return its faults.  */
static GArray *
read_text (struct settings *settings, const char *text)
{
  GArray *errors = g_array_new (FALSE, TRUE, sizeof (struct config_error));
  char *name = NULL;
  int file = g_file_open_tmp ("settings-XXXXXX", &name, NULL);

  CU_ASSERT_TRUE (file >= 0);
  g_close (file, NULL);
  CU_ASSERT_TRUE (g_file_set_contents (name, text, -1, NULL));
  settings_read (settings, name, errors);
  g_unlink (name);
  g_free (name);
  return errors;
}

/* Good settings are read, with defaults for what is left out.  */
static void
test_good (void)
{
  struct settings settings;
  GArray *errors = read_text (&settings, GOOD);

  CU_ASSERT_EQUAL (errors->len, 0);
  CU_ASSERT_STRING_EQUAL (settings.core.host, "h1");
  CU_ASSERT_EQUAL (settings.core.peer_address.port, 7002);
  CU_ASSERT_EQUAL (settings.log_address.port, 7000);
  CU_ASSERT_EQUAL (settings.core.snapshot_records, 5000);
  CU_ASSERT_EQUAL (settings.core.snapshot_interval_sec, 600);
  CU_ASSERT_EQUAL (settings.core.relays_per_zone, 0);
  CU_ASSERT_EQUAL (settings.core.seed_peer_count, 0);
  CU_ASSERT_STRING_EQUAL (settings.log_level, "info");
  g_array_free (errors, TRUE);
}

/* Every fault is told with file, line, section and key.  */
static void
test_faults (void)
{
  struct settings settings;
  GArray *errors = read_text (&settings, "[node]\nhost = h 1\nfront = here\n"
                                         "[journal]\nlevel = loud\n");
  gboolean section = FALSE;
  gboolean level = FALSE;
  guint i;

  for (i = 0; i < errors->len; i++)
    {
      const struct config_error *config_error
          = &g_array_index (errors, struct config_error, i);
      CU_ASSERT_NOT_EQUAL (config_error->file[0], '\0');
      section = section
                || (config_error->kind == CONFIG_ERROR_MISSING
                    && strcmp (config_error->section, "log") == 0);
      level = level
              || (config_error->kind == CONFIG_ERROR_VALUE
                  && config_error->line == 5
                  && strcmp (config_error->key, "level") == 0);
    }
  /* host and front are wrong, four keys and a section are missing.  */
  CU_ASSERT_EQUAL (errors->len, 8);
  CU_ASSERT_TRUE (section);
  CU_ASSERT_TRUE (level);
  g_array_free (errors, TRUE);
}

/* A file that cannot be read is a fault too.  */
static void
test_no_file (void)
{
  struct settings settings;
  GArray *errors = g_array_new (FALSE, TRUE, sizeof (struct config_error));

  CU_ASSERT_EQUAL (settings_read (&settings, "no/such/file", errors),
                   ERR_INVALID);
  CU_ASSERT_EQUAL (errors->len, 1);
  CU_ASSERT_EQUAL (g_array_index (errors, struct config_error, 0).kind,
                   CONFIG_ERROR_FILE);
  g_array_free (errors, TRUE);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "good", test_good },
                                 { "faults", test_faults },
                                 { "no file", test_no_file },
                                 CU_TEST_INFO_NULL };

  return suite_run ("settings", tests);
}
