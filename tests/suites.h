/// The suites of the unit and end-to-end tests.
#pragma once

void suite_message(void);
void suite_conf(void);
void suite_history(void);
void suite_members(void);
void suite_gate(void);
void suite_route(void);
void suite_policies(void);
void suite_claim(void);
void suite_orders(void);
void suite_settings(void);
void suite_requests(void);
void suite_failures(void);
void suite_shutdown(void);
