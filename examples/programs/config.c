#include "decide/config_read.h"

#include <stdio.h>

/* Shows how a configuration is checked as one set: prints its objects, or
   every fault.  Usage: show_config FILE  */

int
main (int argc, char **argv)
{
  GArray *faults = g_array_new (FALSE, TRUE, sizeof (struct fault));
  struct config config;
  char *text = NULL;
  guint i;

  if (argc != 2 || !g_file_get_contents (argv[1], &text, NULL, NULL))
    return 2;
  config_read (&config, argv[1], text, faults);
  for (i = 0; i < faults->len; i++)
    {
      char *line = fault_format (&g_array_index (faults, struct fault, i));
      printf ("%s\n", line);
      g_free (line);
    }
  for (i = 0; faults->len == 0 && i < config.services->len; i++)
    {
      const struct config_service *service
          = &g_array_index (config.services, struct config_service, i);
      printf ("service %s: %u slices, %u ms\n", service->name, service->slices,
              service->timeout_msec);
    }
  config_clear (&config);
  g_array_free (faults, TRUE);
  g_free (text);
  return 0;
}
