#include "standins/checker.h"

#include <argp.h>
#include <stdio.h>

/* The checker as a process.  Exit status 0: nothing wrong was found.  Servers'
   records must come first on the command line.  */

static const struct argp_option options[]
    = { { "record", 'r', "FILE", 0, "What one server recorded", 0 },
        { "any", 'a', "FILE", 0, "Caller's output, idempotent requests", 0 },
        { "once", 'o', "FILE", 0, "Caller's output, once requests", 0 },
        { 0 } };

/* Take in one option.  */
static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct checker *checker = state->input;
  gboolean done = TRUE;

  switch (key)
    {
    case 'r':
      done = checker_read_record (checker, arg);
      break;
    case 'a':
      done = checker_read_caller (checker, arg, FALSE);
      break;
    case 'o':
      done = checker_read_caller (checker, arg, TRUE);
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  if (!done)
    argp_error (state, "cannot read %s", arg);
  return 0;
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { options, parse_option,
          NULL,    "Check servers' records against what callers were told.",
          NULL,    NULL,
          NULL };
  struct checker checker;
  gboolean passed;

  checker_init (&checker);
  argp_parse (&argp, argc, argv, 0, NULL, &checker);
  checker_check_owners (&checker);
  passed = checker_passed (&checker);
  printf ("servers=%u lines=%u requests=%u two-owners=%u overlaps=%u "
          "run-twice=%u not-run-ran=%u done-unrun=%u: %s\n",
          checker.server_count, checker.lines->len, checker.request_count,
          checker.two_owners_count, checker.overlap_count,
          checker.run_twice_count, checker.ran_not_run_count,
          checker.done_unrun_count, passed ? "passed" : "FAILED");
  checker_clear (&checker);
  return passed ? 0 : 1;
}
