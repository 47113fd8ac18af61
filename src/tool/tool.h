#ifndef BAMBOOTALLY_TOOL_H
#define BAMBOOTALLY_TOOL_H

#include "edge/http.h"
#include "types/config_error.h"
#include "types/record.h"

/* The operators' command, one function a command.  Each returns the exit
   status.  */

#define TOOL_OK 0        /* done */
#define TOOL_USAGE 2     /* the command line is not right */
#define TOOL_INVALID 3   /* the configuration has faults */
#define TOOL_CONFLICT 4  /* another configuration came first */
#define TOOL_UNREACHED 5 /* node or log cannot be reached */
#define TOOL_NOT_FOUND 6 /* no such thing */
#define TOOL_UNSURE 7    /* it may have taken effect, or not */
#define TOOL_DIFFER 8    /* nodes at one offset do not hold the same view */

/* What the command line says.  */
struct tool
{
  struct address node;  /* a node's front, port 0 if not given */
  struct address log;   /* the log service */
  const char *stream;   /* the stream on it */
  const char *author;   /* who publishes */
  gboolean json;        /* machine-readable output */
  gboolean yes;         /* what is at stake is accepted */
  gint64 timeout_usec;  /* how long to wait in all */
  const char *words[3]; /* the command's words */
  guint count;          /* how many */
};

/* An answer over HTTP.  */
struct tool_answer
{
  enum err code;  /* ERR_NONE if there is one */
  gboolean sent;  /* the request left this host */
  guint status;   /* HTTP status */
  GString *body;  /* its body */
  guint64 config; /* Config-Offset, 0 if it has none */
  guint64 next;   /* Log-Next, 0 if it has none */
  guint64 first;  /* Log-First, 0 if it has none */
  guint64 tail;   /* Log-Tail, 0 if it has none */
  char *past;     /* Config-Past, NULL if it has none */
};

int tool_check (const struct tool *tool);
int tool_publish (const struct tool *tool);
int tool_status (const struct tool *tool);
int tool_explain (const struct tool *tool);
int tool_drain (const struct tool *tool);
int tool_counters (const struct tool *tool);
int tool_log (const struct tool *tool);
int tool_declare_dead (const struct tool *tool);
int tool_digest (const struct tool *tool);
enum err tool_append (const struct tool *tool, const struct record *record,
                      guint64 *offset);
guint64 tool_random (void);
void tool_ask (struct tool_answer *answer, struct address to,
               const char *method, const char *target, const guint8 *bytes,
               gsize count, gint64 timeout_usec);
void tool_answer_clear (struct tool_answer *answer);
void tool_print_faults (const struct tool *tool, const GArray *errors);
void tool_print_error (const struct tool *tool, const char *what,
                       enum err code);
int tool_show (const struct tool *tool, const char *method,
               const char *target);

#endif
