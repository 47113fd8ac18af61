#include "edge/journal.h"
#include "tests/suite.h"
#include "types/log_event.h"

#include <string.h>

#define LAST_NUMBER 999 /* numbers of events are below this */

/* Every event in the code stands in docs/EVENTS.md by number and name.  */
static void
test_catalogue_is_documented (void)
{
  char *text = NULL;
  int id;

  CU_ASSERT_TRUE (g_file_get_contents ("docs/EVENTS.md", &text, NULL, NULL));
  for (id = 0; text != NULL && id <= LAST_NUMBER; id++)
    {
      const char *name = log_event_name ((enum log_event_id)id);
      char *cell;
      char *number;
      if (strcmp (name, "unnamed") == 0)
        continue;
      cell = g_strdup_printf ("| %s |", name);
      number = g_strdup_printf ("\n| %d ", id);
      CU_ASSERT_PTR_NOT_NULL (strstr (text, cell));
      CU_ASSERT_PTR_NOT_NULL (strstr (text, number));
      g_free (cell);
      g_free (number);
    }
  g_free (text);
}

/* A line names the event and just the fields that are set.  */
static void
test_format (void)
{
  struct log_event log_event = { .id = LOG_EVENT_ROUTE_FORWARD,
                                 .service = "menu",
                                 .key = "corner-7",
                                 .node = 0xabcu,
                                 .offset = 21 };
  char *text = journal_format (&log_event);

  CU_ASSERT_STRING_EQUAL (text, "event=101 name=route-forward service=menu "
                                "key=corner-7 node=0000000000000abc "
                                "offset=21");
  g_free (text);
}

int
main (void)
{
  static CU_TestInfo tests[]
      = { { "catalogue is documented", test_catalogue_is_documented },
          { "format", test_format },
          CU_TEST_INFO_NULL };

  return suite_run ("note", tests);
}
