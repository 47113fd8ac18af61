#include "soak/soak_node.h"

#include "types/limits.h"

#include <fcntl.h>
#include <glib.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#define LOG_MODE 0644                       /* file mode of a node's log */
#define EXIT_NOT_STARTED 127                /* exit status if execv fails */
#define RESTART_DELAY_USEC ((gint64)400000) /* wait after a process's end */

/* Execute the node's program in the child process; its standard output is
   appended to its log file.  The kernel kills the child when the soak ends,
   whose process id is PARENT.  If the soak ended before prctl was called,
   getppid returns another id and the program is not started.  */
static void
exec_program (const struct soak_node *node, pid_t parent)
{
  char *argv[] = { (char *)node->program_path, "--settings",
                   node->settings_path, NULL };
  int log_fd = open (node->log_path, O_WRONLY | O_CREAT | O_APPEND, LOG_MODE);

  prctl (PR_SET_PDEATHSIG, SIGKILL);
  if (getppid () == parent && log_fd >= 0 && dup2 (log_fd, STDOUT_FILENO) >= 0)
    execv (node->program_path, argv);
  _exit (EXIT_NOT_STARTED);
}

/* Start the node's process.  */
void
soak_node_start (struct soak_node *node)
{
  pid_t parent = getpid ();

  node->pid = fork ();
  if (node->pid < 0)
    g_error ("cannot start %s", node->program_path);
  if (node->pid == 0)
    exec_program (node, parent);
  node->start_count++;
  node->paused = FALSE;
}

/* Send signal SIGNO to the node's process, if one runs.  */
void
soak_node_signal (struct soak_node *node, int signo)
{
  if (node->pid == 0)
    return;
  if (signo == SIGSTOP)
    node->paused = TRUE;
  else if (signo == SIGCONT)
    node->paused = FALSE;
  kill (node->pid, signo);
}

/* Reap the process if it has ended, and start or continue it if that is due at
   NOW.  */
void
soak_node_step (struct soak_node *node, gint64 now)
{
  if (node->pid != 0 && waitpid (node->pid, NULL, WNOHANG) == node->pid)
    {
      node->pid = 0;
      node->start_at = MAX (node->start_at, now + RESTART_DELAY_USEC);
    }
  if (node->pid == 0 && now >= node->start_at)
    soak_node_start (node);
  if (node->paused && now >= node->resume_at)
    soak_node_signal (node, SIGCONT);
}

/* Kill the process and wait for its end; it is not started again.  */
void
soak_node_kill (struct soak_node *node)
{
  if (node->pid == 0)
    return;
  kill (node->pid, SIGKILL);
  waitpid (node->pid, NULL, 0);
  node->pid = 0;
}
