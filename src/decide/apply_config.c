#include "decide/apply.h"

#include "decide/config_read.h"

#include <string.h>

/* Update the services of VIEW from the configuration in force.  Slices are
   only added, because their number is fixed.  */
static void
update_services (struct view *view)
{
  guint i;

  for (i = 0; i < view->services->len; i++)
    {
      struct view_service *service = g_ptr_array_index (view->services, i);
      service->configured = FALSE;
    }
  for (i = 0; i < view->config.services->len; i++)
    {
      const struct config_service *config
          = &g_array_index (view->config.services, struct config_service, i);
      struct view_service *service = view_add_service (view, config->name);
      service->config = *config;
      service->configured = TRUE;
      if (service->slices->len < config->slice_count)
        g_array_set_size (service->slices, config->slice_count);
    }
}

/* Compare the configuration AFTER with every service that the log has ever
   configured, including those that a later configuration left out, and add the
   errors to ERRORS.  */
static void
compare_with_view (const struct view *view, const struct config *after,
                   GArray *errors)
{
  struct config before;
  guint i;

  config_init (&before);
  for (i = 0; i < view->services->len; i++)
    {
      const struct view_service *service
          = g_ptr_array_index (view->services, i);
      if (service->slices->len > 0 || service->configured)
        g_array_append_val (before.services, service->config);
    }
  config_compare (&before, after, "log", errors);
  config_clear (&before);
}

/* Put a configuration in force if it was based on the one in force and has no
   errors; otherwise drop it.  */
void
apply_config (struct view *view, guint64 offset,
              const struct record_config *body, struct actions *out)
{
  struct config config;
  GArray *errors;
  enum err code;

  if (body->base_offset != view->config_offset)
    {
      apply_log (out, LOG_EVENT_CONFIG_CONFLICT, offset)->code = ERR_CONFLICT;
      return;
    }
  errors = g_array_new (FALSE, TRUE, sizeof (struct config_error));
  code = config_read (&config, "log", body->text, errors);
  compare_with_view (view, &config, errors);
  if (code != ERR_NONE || errors->len > 0)
    {
      apply_log (out, LOG_EVENT_CONFIG_CONFLICT, offset)->code = ERR_INVALID;
      config_clear (&config);
      g_array_free (errors, TRUE);
      return;
    }
  g_array_free (errors, TRUE);
  config_clear (&view->config);
  view->config = config;
  g_free (view->config_text);
  view->config_text = g_strdup (body->text);
  g_strlcpy (view->config_author, body->author, sizeof view->config_author);
  view->config_offset = offset;
  view->has_config = TRUE;
  update_services (view);
  apply_log (out, LOG_EVENT_CONFIG_FORCE, offset);
}
