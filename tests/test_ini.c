#include "types/ini.h"
#include "tests/suite.h"

#include <string.h>

static const struct ini_field fields[] = {
  { "shop", "size", INI_NUMBER, TRUE, 1, 9, NULL },
  { "shop", "open", INI_FLAG, FALSE, 0, 0, NULL },
  { "shop", "at", INI_ADDRESS, FALSE, 0, 0, NULL },
  { "shop", "kind", INI_CHOICE, FALSE, 0, 0, "corn|spice" },
  { "shop", "label", INI_TEXT, FALSE, 0, 8, NULL },
  { "main", "name", INI_NAME, FALSE, 0, 0, NULL },
};

static const struct ini_schema schema
    = { fields, G_N_ELEMENTS (fields), "shop", "main" };

/* Read TEXT and return how many faults it has; the first one is copied to
   FAULT.  */
static guint
count_faults (const char *text, struct config_error *config_error)
{
  GArray *errors = g_array_new (FALSE, TRUE, sizeof (struct config_error));
  struct ini ini;
  guint count;

  memset (config_error, 0, sizeof *config_error);
  ini_read (&ini, "f", text, &schema, errors);
  count = errors->len;
  if (count > 0)
    *config_error = g_array_index (errors, struct config_error, 0);
  ini_clear (&ini);
  g_array_free (errors, TRUE);
  return count;
}

/* Check that TEXT has just one fault, of KIND at LINE.  */
static void
check_one (const char *text, enum config_error_kind kind, guint line)
{
  struct config_error config_error;

  CU_ASSERT_EQUAL (count_faults (text, &config_error), 1);
  CU_ASSERT_EQUAL (config_error.kind, kind);
  CU_ASSERT_EQUAL (config_error.line, line);
}

/* Values are read, with blanks, comments and defaults.  */
static void
test_values (void)
{
  GArray *errors = g_array_new (FALSE, TRUE, sizeof (struct config_error));
  const struct ini_section *shop;
  struct ini ini;
  char *text;

  ini_read (&ini, "f",
            "# a comment\n[shop a]\n  size =  4 \nopen=yes\nlabel = a b\n",
            &schema, errors);
  CU_ASSERT_EQUAL (errors->len, 0);
  CU_ASSERT_EQUAL_FATAL (ini.sections->len, 1);
  shop = &g_array_index (ini.sections, struct ini_section, 0);
  CU_ASSERT_STRING_EQUAL (shop->name, "a");
  CU_ASSERT_EQUAL (ini_number (&ini, shop, "size", 0), 4);
  CU_ASSERT_TRUE (ini_flag (&ini, shop, "open", FALSE));
  CU_ASSERT_EQUAL (ini_number (&ini, shop, "other", 7), 7);
  text = ini_text (&ini, shop, "label");
  CU_ASSERT_STRING_EQUAL (text, "a b");
  g_free (text);
  ini_clear (&ini);
  g_array_free (errors, TRUE);
}

/* Each form is checked, and the fault told at its line.  */
static void
test_forms (void)
{
  struct config_error config_error;

  check_one ("[shop a]\nsize = 10\n", CONFIG_ERROR_RANGE, 2);
  check_one ("[shop a]\nsize = 1x\n", CONFIG_ERROR_VALUE, 2);
  check_one ("[shop a]\nsize = 1\nopen = true\n", CONFIG_ERROR_VALUE, 3);
  check_one ("[shop a]\nsize = 1\nat = 1.2.3.4\n", CONFIG_ERROR_VALUE, 3);
  check_one ("[shop a]\nsize = 1\nkind = rice\n", CONFIG_ERROR_VALUE, 3);
  check_one ("[shop a]\nsize = 1\nlabel = 12345678\n", CONFIG_ERROR_VALUE, 3);
  check_one ("[main]\nname = a b\n", CONFIG_ERROR_VALUE, 2);
  check_one ("[main x]\nname = a\n", CONFIG_ERROR_UNKNOWN_KIND, 1);
  check_one ("[shop]\nsize = 1\n", CONFIG_ERROR_VALUE, 1);
  check_one ("[shop a]\n", CONFIG_ERROR_MISSING, 1);
  check_one ("[shop a]\nsize = 1\nsize = 2\n", CONFIG_ERROR_DUPLICATE, 3);
  CU_ASSERT_TRUE (count_faults ("size = 1\n", &config_error) > 0);
  CU_ASSERT_EQUAL (config_error.kind, CONFIG_ERROR_SYNTAX);
}

/* A fault is written with all that it takes to find it.  */
static void
test_format (void)
{
  struct config_error config_error;
  char *text;

  count_faults ("[shop a]\nsize = 10\n", &config_error);
  text = config_error_format (&config_error);
  CU_ASSERT_STRING_EQUAL (text,
                          "f:2: [shop a] size: out-of-range '10' (1 to 9)");
  g_free (text);
}

int
main (void)
{
  static CU_TestInfo tests[] = { { "values", test_values },
                                 { "forms", test_forms },
                                 { "format", test_format },
                                 CU_TEST_INFO_NULL };

  return suite_run ("ini", tests);
}
