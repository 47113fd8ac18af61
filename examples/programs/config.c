#include "decide/config_read.h"

#include <stdio.h>

/* Reads and validates a configuration as a whole, and prints its services or
   all of its errors.  Usage: show_config FILE.  */

int
main (int argc, char **argv)
{
  GArray *errors = g_array_new (FALSE, TRUE, sizeof (struct config_error));
  struct config config;
  char *text = NULL;
  guint i;

  if (argc != 2 || !g_file_get_contents (argv[1], &text, NULL, NULL))
    return 2;
  config_read (&config, argv[1], text, errors);
  for (i = 0; i < errors->len; i++)
    {
      char *message = config_error_format (
          &g_array_index (errors, struct config_error, i));
      printf ("%s\n", message);
      g_free (message);
    }
  for (i = 0; errors->len == 0 && i < config.services->len; i++)
    {
      const struct config_service *service
          = &g_array_index (config.services, struct config_service, i);
      printf ("service %s: %u slices, %u ms\n", service->name,
              service->slice_count, service->timeout_msec);
    }
  config_clear (&config);
  g_array_free (errors, TRUE);
  g_free (text);
  return 0;
}
