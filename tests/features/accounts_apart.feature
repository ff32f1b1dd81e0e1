Feature: Client accounts stay apart

  Scenario: The same prompt under two accounts shares no block
    Two customers send the same long prompt. If the second were answered from
    the first's blocks, its speed would tell it what the first had asked.
    When parliament and ministry-of-health send the same long prompt
    Then the second reused no token of it
    And the second's own repeat reused it

  Scenario Outline: The <thing> of one account is unknown to another
    A customer's token leaks to another customer, who tries it.
    When parliament uses a <thing> of interpreters
    Then it gets the answer that an unknown <thing> gets
    And the rightful owner can still use it

    Examples:
      | thing        |
      | resume token |
      | ticket       |

  Scenario: The same key under two accounts means two bookings
    Two customers choose the same key. Neither may see the other's answer.
    When convention-centre and bookings-desk book with the same key
    Then each gets the answer to its own booking

  Scenario: No caller's key opens the time line
    A customer asks an entry's operators' address for the time line, which
    tells of all accounts.
    When a caller asks for the time line with its own key
    Then it is refused

  Scenario: One account's flood is refused and another's prompts are not
    A customer sends ten times what its contract allows. The others must not
    be refused for it, nor may more of its prompts reach the engines.
    When training sends 80 prompts at once while interpreters sends 20
    Then no prompt of interpreters is refused
    And the engines never ran more than 8 prompts of training at once
    And every refused prompt is told when to come back
