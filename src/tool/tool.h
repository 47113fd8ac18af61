#ifndef BAMBOOTALLY_TOOL_H
#define BAMBOOTALLY_TOOL_H

#include "edge/http.h"
#include "types/config_error.h"
#include "types/record.h"

/* The commands of the operator tool, one function each.  Each returns the exit
   status of the program.  */

#define TOOL_OK 0            /* success */
#define TOOL_USAGE 2         /* invalid command line */
#define TOOL_INVALID 3       /* invalid configuration */
#define TOOL_CONFLICT 4      /* another configuration was accepted first */
#define TOOL_UNREACHABLE 5   /* node or log cannot be reached */
#define TOOL_NOT_FOUND 6     /* no such object */
#define TOOL_INDETERMINATE 7 /* the command may have taken effect */
#define TOOL_DIVERGED 8 /* nodes at the same offset have different views */

/* The command line.  */
struct tool
{
  /* address of the queried node; port 0: not given */
  struct address node_address;
  struct address log_address; /* address of the log service */
  const char *stream;         /* name of the stream on the log service */
  const char *author;         /* author of a published configuration */
  gboolean json_output;       /* machine-readable output */
  gboolean is_confirmed;      /* the user confirmed the risk */
  gint64 timeout_usec;        /* timeout of the whole command */
  const char *args[3];        /* the command and its arguments */
  guint arg_count;            /* used entries of `args' */
  const char *key;            /* key of the request to explain, or NULL */
  const char *method;         /* its method, or NULL */
  const char *deadline_msec;  /* its deadline in milliseconds, or NULL */
  const char *body_bytes;     /* length of its body, or NULL */
};

/* An HTTP response.  */
struct tool_response
{
  enum err code;         /* ERR_NONE if a response came */
  gboolean was_sent;     /* the request was sent */
  guint status;          /* HTTP status */
  GString *body;         /* body of the response */
  guint64 config_offset; /* header Config-Offset, 0: missing */
  guint64 next_offset;   /* header Log-Next, 0: missing */
  guint64 first_offset;  /* header Log-First, 0: missing */
  guint64 end_offset;    /* header Log-Tail, 0: missing */
  char *config_history;  /* header Config-Past, NULL: missing */
};

/* Prints the text of a response.  */
typedef void tool_print_fn (const struct tool *tool, const char *text);

int tool_check (const struct tool *tool);
int tool_publish (const struct tool *tool);
int tool_status (const struct tool *tool);
int tool_explain (const struct tool *tool);
int tool_explain_request (const struct tool *tool);
int tool_drain (const struct tool *tool);
int tool_counters (const struct tool *tool);
int tool_log (const struct tool *tool);
int tool_declare_dead (const struct tool *tool);
int tool_digest (const struct tool *tool);
enum err tool_append (const struct tool *tool, const struct record *record,
                      guint64 *offset);
guint64 tool_random_id (void);
void tool_request (struct tool_response *response, struct address address,
                   const char *method, const char *target, const guint8 *bytes,
                   gsize count, gint64 timeout_usec);
void tool_response_clear (struct tool_response *response);
void tool_print_config_errors (const struct tool *tool, const GArray *errors);
void tool_print_error (const struct tool *tool, const char *what,
                       enum err code);
int tool_print_response (const struct tool *tool, const char *method,
                         const char *target);
int tool_print_response_by (const struct tool *tool, const char *method,
                            const char *target, tool_print_fn *print);

#endif
