#ifndef SCENARIO_SCRIPT_H
#define SCENARIO_SCRIPT_H

#include "scenarios/world.h"

/* A scenario: statements of the test language, one a line, done in turn on a
   world of its own.  scenarios/README.md lists them.  */

struct script
{
  struct world world;            /* the world */
  GScanner *scanner;             /* reads the text */
  GString *invariant;            /* what it is about */
  GString *failures;             /* the failures that it brings */
  gint64 begun;                  /* scripted time 0 */
  guint32 seed;                  /* of the world, and of random runs */
  enum run_class run_class;      /* of the requests of a random run */
  gboolean wide;                 /* a random run draws all failures */
  gint64 load_every;             /* a probe is sent so often, 0 for none */
  gint64 load_next;              /* when the next one is due */
  guint probes;                  /* probes sent */
  gint64 slowest;                /* longest that `served' had to wait */
  char failure[FAULT_TEXT_SIZE]; /* why it failed, empty if it did not */
};

enum err script_run (struct script *script, const char *file,
                     gboolean verbose);
void script_clear (struct script *script);

/* For the files of the language itself.  */
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
