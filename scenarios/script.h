#ifndef SCENARIO_SCRIPT_H
#define SCENARIO_SCRIPT_H

#include "scenarios/world.h"

/* A scenario: statements of the scenario language, one a line, run in order on
   a simulated world of its own.  scenarios/README.md lists the statements.  */

struct script
{
  struct world world;       /* the simulated world */
  GScanner *scanner;        /* tokenizer of the script's text */
  GString *invariant;       /* name of the invariant under test */
  GString *injected_faults; /* names of the faults injected */
  gint64 started_at;        /* start of the scenario, simulated microseconds */
  guint32 seed;             /* seed of a random run */
  enum run_class run_class; /* run class of a random run's requests */
  gboolean wide;            /* random runs draw from all kinds of faults */
  gint64 load_interval_usec; /* between load probes, 0 for no load */
  gint64 next_probe_at;      /* when the next load probe is due */
  guint probe_count;         /* probes and random requests sent so far */
  gint64 longest_wait_usec;  /* longest wait for `served', microseconds */
  char failure[FAILURE_TEXT_SIZE]; /* first failure, empty if none */
};

enum err script_run (struct script *script, const char *file,
                     gboolean verbose);
void script_clear (struct script *script);

/* Used only by the source files of the scenario language.  */
void script_fail (struct script *script, const char *format, ...)
    G_GNUC_PRINTF (2, 3);
void script_run_until (struct script *script, gint64 until);
gboolean script_accept_word (struct script *script, const char *word);
const char *script_read_name (struct script *script);
gdouble script_read_number (struct script *script);
guint script_read_node (struct script *script);
gboolean script_next_is_node (struct script *script);
gboolean script_at_end (struct script *script);
gboolean script_accept_char (struct script *script, char c);
void script_send_probe (struct script *script, const char *key, guint n);
gint64 script_read_deadline (struct script *script);
void script_expect (struct script *script);
void script_expect_served (struct script *script);
void script_expect_all_served (struct script *script);
void script_expect_config (struct script *script);
void script_inject_fault (struct script *script, const char *word);
void script_random (struct script *script);

#endif
