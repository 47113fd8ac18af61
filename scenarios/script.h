#ifndef SCENARIO_SCRIPT_H
#define SCENARIO_SCRIPT_H

#include "scenarios/world.h"

/* A scenario: statements of the test language, one a line, done in turn on a
   world of its own.  scenarios/README.md lists them.  */

struct script
{
  struct world world;              /* the world */
  GScanner *scanner;               /* reads the text */
  GString *invariant;              /* what it is about */
  GString *injected_faults;        /* the failures that it brings */
  gint64 started_at;               /* scripted time 0 */
  guint32 seed;                    /* of the world, and of random runs */
  enum run_class run_class;        /* of the requests of a random run */
  gboolean wide;                   /* a random run draws all failures */
  gint64 load_interval_usec;       /* a probe is sent so often, 0 for none */
  gint64 next_probe_at;            /* when the next one is due */
  guint probe_count;               /* probes sent */
  gint64 longest_wait_usec;        /* longest that `served' had to wait */
  char failure[FAILURE_TEXT_SIZE]; /* why it failed, empty if it did not */
};

enum err script_run (struct script *script, const char *file,
                     gboolean verbose);
void script_clear (struct script *script);

/* For the files of the language itself.  */
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
