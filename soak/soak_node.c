#include "soak/soak_node.h"

#include "types/limits.h"

#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define LOG_MODE 0644                 /* of a node's log */
#define EXIT_NOT_STARTED 127          /* the program could not be started */
#define RESTART_USEC ((gint64)400000) /* after a process has ended */

/* Become the node's program: its lines go to its log, and it ends with the
   process that started it, PARENT.  */
static void
become (const struct soak_node *node, pid_t parent)
{
  char *argv[] = { (char *)node->program_path, "--settings",
                   node->settings_path, NULL };
  int log = open (node->log_path, O_WRONLY | O_CREAT | O_APPEND, LOG_MODE);

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () == parent && log >= 0 && dup2 (log, STDOUT_FILENO) >= 0)
    execv (node->program_path, argv);
  _exit (EXIT_NOT_STARTED);
}

/* Start the process.  */
void
soak_node_start (struct soak_node *node)
{
  pid_t parent = getpid ();

  node->pid = fork ();
  if (node->pid < 0)
    g_error ("cannot start %s", node->program_path);
  if (node->pid == 0)
    become (node, parent);
  node->start_count++;
  node->paused = FALSE;
}

/* Send signal NUMBER to the process, if one runs.  */
void
soak_node_signal (struct soak_node *node, int number)
{
  if (node->pid == 0)
    return;
  if (number == SIGSTOP)
    node->paused = TRUE;
  else if (number == SIGCONT)
    node->paused = FALSE;
  kill (node->pid, number);
}

/* See whether the process has ended, and start or resume it where that is
   due.  */
void
soak_node_step (struct soak_node *node, gint64 now)
{
  if (node->pid != 0 && waitpid (node->pid, NULL, WNOHANG) == node->pid)
    {
      node->pid = 0;
      node->start_at = MAX (node->start_at, now + RESTART_USEC);
    }
  if (node->pid == 0 && now >= node->start_at)
    soak_node_start (node);
  if (node->paused && now >= node->resume_at)
    soak_node_signal (node, SIGCONT);
}

/* End the process for good.  */
void
soak_node_kill (struct soak_node *node)
{
  if (node->pid == 0)
    return;
  kill (node->pid, SIGKILL);
  waitpid (node->pid, NULL, 0);
  node->pid = 0;
}
