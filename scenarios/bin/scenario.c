#include "scenarios/script.h"

#include <stdio.h>
#include <string.h>

/* scenario [-v] FILE: run one scenario and print its line.  */
int
main (int argc, char **argv)
{
  gboolean verbose = argc == 3 && strcmp (argv[1], "-v") == 0;
  struct script script;
  char *name;
  gboolean passed;

  if (argc != 2 && !verbose)
    {
      fprintf (stderr, "usage: scenario [-v] FILE\n");
      return 2;
    }
  if (script_run (&script, argv[argc - 1], verbose) != ERR_NONE)
    {
      fprintf (stderr, "scenario: cannot read %s\n", argv[argc - 1]);
      return 2;
    }
  passed = script.failure[0] == '\0';
  name = g_path_get_basename (argv[argc - 1]);
  printf ("%-28s %-16s %-44s %s", name, script.invariant->str,
          script.injected_faults->str, passed ? "holds" : "FAILED: ");
  if (!passed)
    printf ("%s", script.failure);
  else if (script.longest_wait_usec > 0)
    printf (", served after %.2f s at most",
            (double)script.longest_wait_usec / G_USEC_PER_SEC);
  printf ("\n");
  g_free (name);
  script_clear (&script);
  return passed ? 0 : 1;
}
