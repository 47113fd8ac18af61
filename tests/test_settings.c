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
  GArray *faults = g_array_new (FALSE, TRUE, sizeof (struct fault));
  char *name = NULL;
  int file = g_file_open_tmp ("settings-XXXXXX", &name, NULL);

  CU_ASSERT_TRUE (file >= 0);
  g_close (file, NULL);
  CU_ASSERT_TRUE (g_file_set_contents (name, text, -1, NULL));
  settings_read (settings, name, faults);
  g_unlink (name);
  g_free (name);
  return faults;
}

/* Good settings are read, with defaults for what is left out.  */
static void
test_good (void)
{
  struct settings settings;
  GArray *faults = read_text (&settings, GOOD);

  CU_ASSERT_EQUAL (faults->len, 0);
  CU_ASSERT_STRING_EQUAL (settings.core.host, "h1");
  CU_ASSERT_EQUAL (settings.core.peer_address.port, 7002);
  CU_ASSERT_EQUAL (settings.log.port, 7000);
  CU_ASSERT_EQUAL (settings.core.snapshot_records, 5000);
  CU_ASSERT_EQUAL (settings.core.snapshot_interval_sec, 600);
  CU_ASSERT_EQUAL (settings.core.relays_per_zone, 0);
  CU_ASSERT_EQUAL (settings.core.seed_peer_count, 0);
  CU_ASSERT_STRING_EQUAL (settings.log_level, "info");
  g_array_free (faults, TRUE);
}

/* Every fault is told with file, line, section and key.  */
static void
test_faults (void)
{
  struct settings settings;
  GArray *faults = read_text (&settings, "[node]\nhost = h 1\nfront = here\n"
                                         "[journal]\nlevel = loud\n");
  gboolean section = FALSE;
  gboolean level = FALSE;
  guint i;

  for (i = 0; i < faults->len; i++)
    {
      const struct fault *fault = &g_array_index (faults, struct fault, i);
      CU_ASSERT_NOT_EQUAL (fault->file[0], '\0');
      section = section
                || (fault->kind == FAULT_MISSING
                    && strcmp (fault->section, "log") == 0);
      level = level
              || (fault->kind == FAULT_VALUE && fault->line == 5
                  && strcmp (fault->key, "level") == 0);
    }
  /* host and front are wrong, four keys and a section are missing.  */
  CU_ASSERT_EQUAL (faults->len, 8);
  CU_ASSERT_TRUE (section);
  CU_ASSERT_TRUE (level);
  g_array_free (faults, TRUE);
}

/* A file that cannot be read is a fault too.  */
static void
test_no_file (void)
{
  struct settings settings;
  GArray *faults = g_array_new (FALSE, TRUE, sizeof (struct fault));

  CU_ASSERT_EQUAL (settings_read (&settings, "no/such/file", faults),
                   ERR_INVALID);
  CU_ASSERT_EQUAL (faults->len, 1);
  CU_ASSERT_EQUAL (g_array_index (faults, struct fault, 0).kind, FAULT_FILE);
  g_array_free (faults, TRUE);
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
