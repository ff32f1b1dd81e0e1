Feature: Client accounts are isolated from each other

  Scenario: The same prompt under two accounts shares no block of KV cache
    Two accounts send the same long prompt. If the second prompt reused the
    first one's blocks, its faster answer would reveal what the first account
    had asked.
    When parliament and ministry-of-health send the same long prompt
    Then the second prompt reuses no cached token
    And a repeat of the second prompt reuses its cached tokens

  Scenario Outline: The <thing> of one account is unknown to another
    A token of one account leaks to another account, which tries to use it.
    When parliament uses a <thing> of interpreters
    Then it gets the same answer as for an unknown <thing>
    And the rightful owner can still use it

    Examples:
      | thing        |
      | resume token |
      | ticket       |

  Scenario: The same key under two accounts means two bookings
    Two accounts choose the same idempotency key. Neither may see the other's
    answer.
    When convention-centre and bookings-desk book with the same key
    Then each gets the answer to its own booking

  Scenario: No caller's key gives access to the timeline
    A caller requests the timeline at the admin address of an entry. The
    timeline shows events of all accounts, so only operators may read it.
    When a caller requests the timeline with its own key
    Then it is refused

  Scenario: One account's overload is refused and another's prompts are not
    One account sends ten times as many prompts as its contract allows. This
    must not cause refusals for other accounts, and no more of its prompts than
    the contract allows may reach the engines.
    When training sends 80 prompts at once while interpreters sends 20
    Then no prompt of interpreters is refused
    And the engines never ran more than 8 prompts of training at once
    And every refused prompt is told when to retry
