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
  GString *failures;        /* names of the failures injected */
  gint64 begun;             /* start of the scenario, simulated microseconds */
  guint32 seed;             /* seed of a random run */
  enum run_class run_class; /* run class of a random run's requests */
  gboolean wide;            /* random runs draw from all kinds of failures */
  gint64 load_every;        /* between load probes, 0 for no load */
  gint64 load_next;         /* when the next load probe is due */
  guint probes;             /* probes and random requests sent so far */
  gint64 slowest;           /* longest wait for `served', microseconds */
  char failure[FAULT_TEXT_SIZE]; /* first failure, empty if none */
};

enum err script_run (struct script *script, const char *file,
                     gboolean verbose);
void script_clear (struct script *script);

/* Used only by the source files of the scenario language.  */
void script_fail (struct script *script, const char *format, ...)
    G_GNUC_PRINTF (2, 3);
void script_run_until (struct script *script, gint64 until);
gboolean script_word (struct script *script, const char *word);
const char *script_name (struct script *script);
gdouble script_number (struct script *script);
guint script_node (struct script *script);
gboolean script_sees_node (struct script *script);
gboolean script_at_end (struct script *script);
gboolean script_char (struct script *script, char c);
void script_probe (struct script *script, const char *key, guint n);
gint64 script_within (struct script *script);
void script_expect (struct script *script);
void script_expect_served (struct script *script);
void script_expect_all_served (struct script *script);
void script_expect_config (struct script *script);
void script_failure (struct script *script, const char *word);
void script_random (struct script *script);

#endif
