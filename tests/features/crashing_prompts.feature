Feature: A prompt that crashes engines is stopped

  Scenario: A prompt that crashes engines comes again at every entry
    When a prompt that crashes engines comes to every entry, again and again
    Then three engines have ended
    And every entry refuses the prompt as not run
    And other prompts are served
