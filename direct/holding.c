#include "holding.h"

#include "core/catalog.h"
#include "core/footprint.h"
#include "direct_state.h"
#include "endpoints.h"
#include "exchange_state.h"
#include "services.h"

static struct footprint_output
output_of(const struct exchange *exchange)
{
    return (struct footprint_output){
        .has_hint = exchange->facts.has_output_hint,
        .hint = exchange->facts.output_tokens_hint,
        .max = exchange->facts.output_tokens_max,
    };
}

static struct footprint_lengths *
lengths_of(const struct exchange *exchange)
{
    return services_lengths(direct_services(exchange->direct),
                            exchange->route->name);
}

double
holding_expect_tokens(const struct exchange *exchange)
{
    const struct footprint_output output = output_of(exchange);
    uint32_t prompt = exchange->facts.prompt_tokens > 0
                          ? exchange->facts.prompt_tokens
                          : prefix_tokens(&exchange->facts.prefix);

    return prompt + footprint_expect_output(lengths_of(exchange), &output);
}

void
holding_begin(struct exchange *exchange)
{
    exchange->held_tokens = holding_expect_tokens(exchange);
    footprint_add(&exchange->endpoint->footprint, exchange->held_tokens);
}

void
holding_end(struct exchange *exchange)
{
    footprint_remove(&exchange->endpoint->footprint, exchange->held_tokens);
    exchange->held_tokens = 0;
}

void
holding_record_answer(struct exchange *exchange)
{
    const struct footprint_output output = output_of(exchange);

    if (exchange->deliveries == 1 && exchange->facts.last_event_id.len == 0) {
        footprint_add_answer(lengths_of(exchange), &output,
                             exchange->scan.events);
    }
}
