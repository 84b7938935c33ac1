#include "continue.h"
#include "check.h"
#include <errno.h>

#define EVENT_MS 10

struct pw_server *continue_add_engine(void)
{
	struct pw_server *s = pw_server_add("llm", 1);

	s->events = CONTINUE_EVENTS;
	s->event_ms = EVENT_MS;
	return s;
}

struct pw_server *continue_add_failing(enum pw_mode mode, int resume_status)
{
	struct pw_server *s = continue_add_engine();

	s->mode = mode;
	s->break_after = CONTINUE_BROKEN_AFTER;
	s->resume_status = resume_status;
	return s;
}

void continue_check_broken_off(struct pw_call *c, int events)
{
	CU_ASSERT(pw_call_wait(c, 4000));
	CU_ASSERT_EQUAL(c->status, 200);
	CU_ASSERT(c->err != 0);
	CU_ASSERT_NOT_EQUAL(c->err, -EBADMSG);
	CU_ASSERT(pw_has_whole_events(c, events));
}

int continue_has_run(void *call)
{
	return pw_runs_of(((struct pw_call *)call)->id) >= 1;
}

int continue_has_second_run(void *call)
{
	return pw_runs_of(((struct pw_call *)call)->id) >= 2;
}
